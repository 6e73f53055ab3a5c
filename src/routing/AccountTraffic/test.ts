import { AccountTraffic } from '.'

const createRequest = (account: string, promptTokens: number) => ({ account, promptTokens, outputTokens: 50 })

describe('AccountTraffic', () => {
  // Guards against figures that hide an account which is refused while another one is served.
  it('lists what each account asked and got in the last six whole seconds, the smallest share first', () => {
    const traffic = new AccountTraffic()
    for (let second = 0; second < 8; second++) {
      const nowMs = second * 1e3
      for (const account of ['a', 'b']) traffic.recordRequest(createRequest(account, 900), nowMs)
      traffic.recordVerdict(createRequest('a', 900), { type: 'place' }, nowMs)
      traffic.recordVerdict(createRequest('b', 900), second % 4 === 0 ? { type: 'place' } : { type: 'refuse' }, nowMs)
    }
    const [b, a] = traffic.list(8_400)
    expect(b).toMatchObject({ account: 'b', askedTokens: 6_000, placedTokens: 1_000, refusedTokens: 5_000, refusedCalls: 5 })
    expect(b.share).toBeCloseTo(1 / 6)
    expect(a).toMatchObject({ account: 'a', placedTokens: 6_000, refusedCalls: 0, share: 1 })
  })

  // Guards against an account whose calls are refused by its router, and which looks satisfied because the scheduler sees few.
  it('counts calls that a router refused as asked and refused', () => {
    const traffic = new AccountTraffic()
    for (const account of ['a', 'b']) {
      traffic.recordRequest(createRequest(account, 900), 0)
      traffic.recordVerdict(createRequest(account, 900), { type: 'place' }, 0)
    }
    traffic.recordRequest(createRequest('b', 3_900), 0)
    traffic.recordVerdict(createRequest('b', 3_900), { type: 'place' }, 0)
    traffic.recordRouterRefusals('a', 9_000, 0)
    const [a] = traffic.list(1_000)
    expect(a).toMatchObject({ account: 'a', askedTokens: 10_000, placedTokens: 1_000, refusedTokens: 9_000, routerRefusedTokens: 9_000, refusedCalls: 1 })
    expect(a.share).toBeCloseTo(0.2)
  })

  it('forgets accounts without calls in the window', () => {
    const traffic = new AccountTraffic()
    traffic.recordRequest(createRequest('a', 900), 0)
    expect(traffic.list(6_900)).toHaveLength(1)
    expect(traffic.list(7_000)).toEqual([])
  })
})
