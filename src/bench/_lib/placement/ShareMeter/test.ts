import { ShareMeter } from '.'

/** Two accounts that ask the same for eight seconds; `a` gets all of it and `b` the given part, with one refusal each second. */
function createMeter ({ got, isShort = () => true }: { got: number, isShort?: (second: number) => boolean }): ShareMeter {
  const meter = new ShareMeter()
  for (let second = 0; second < 8; second++) {
    for (let i = 0; i < 100; i++) for (const account of ['a', 'b']) meter.recordRequest(account, 1, second * 1e3 + i)
    meter.recordStart('a', 100, second * 1e3)
    meter.recordStart('b', 100 * got, second * 1e3)
    if (isShort(second)) meter.recordRefusal('b', second * 1e3 + 500)
  }
  return meter
}

// Guards against a regression test of fair shares that measures something else than the users' rule.
describe('ShareMeter', () => {
  it('finds the window of six seconds in which an account got the smallest share of its due', () => {
    const meter = createMeter({ got: 0.4 })
    meter.recordStart('b', 10, 0)
    expect(meter.findWorst()).toMatchObject({ account: 'b', fromS: 1, asked: 600, got: 240, bestGot: 600, share: 0.4, isBroken: true })
  })

  it.each([[0.49, true], [0.497, false], [0.6, false]])('allows for the three largest requests below half of the due: %f', (got, isBroken) => {
    expect(createMeter({ got }).findWorst()!.isBroken).toBe(isBroken)
  })

  it('counts only windows with a refusal or a late request in each second', () => {
    expect(createMeter({ got: 0.1, isShort: second => second !== 4 }).findWorst()).toBeUndefined()
    const meter = createMeter({ got: 0.1, isShort: second => second !== 4 })
    meter.recordLateness('b', { fromMs: 3_900, untilMs: 4_100 })
    expect(meter.listWindows()).toHaveLength(3)
  })

  it('counts as due no more than the account asked each second', () => {
    const meter = new ShareMeter()
    for (let second = 0; second < 6; second++) {
      meter.recordRequest('b', 100, second * 1e3)
      meter.recordRefusal('b', second * 1e3)
      meter.recordStart('a', 1_000, second * 1e3)
      meter.recordStart('b', 50, second * 1e3)
    }
    expect(meter.findWorst()).toMatchObject({ share: 0.5, bestGot: 6_000, isBroken: false })
  })
})
