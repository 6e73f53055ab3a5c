import { EngineHolds } from '.'

describe('EngineHolds', () => {
  it('closes a held engine to accounts with clearly more use, and to no others', () => {
    const holds = new EngineHolds()
    holds.add('t1', 1_000)
    expect([holds.isOpen('t1', 500), holds.isOpen('t1', 2_200), holds.isOpen('t1', 2_400), holds.isOpen('t2', 9_000)]).toEqual([true, true, false, true])
  })

  it('keeps the hold of the account with the least use, until all are cleared', () => {
    const holds = new EngineHolds()
    holds.add('t1', 1_000)
    holds.add('t1', 4_000)
    expect(holds.isOpen('t1', 2_500)).toBe(false)
    holds.clear()
    expect(holds.isOpen('t1', 2_000)).toBe(true)
  })
})
