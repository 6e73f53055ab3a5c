import fc from 'fast-check'
import { AccountLedger } from '.'

const createLedger = (zone: string): AccountLedger => new AccountLedger({ zone, getWeight: () => 2 })

describe('AccountLedger', () => {
  it('reaches the same state from copies in any order and number, so that a rejoin after a partition can not double service', () => {
    const copy = fc.record({ zone: fc.constantFrom('a', 'b'), total: fc.nat(100), lift: fc.nat(100) })
    fc.assert(fc.property(fc.array(copy), fc.array(copy), (first, second) => {
      const [left, right] = [createLedger('own'), createLedger('own')]
      for (const entry of [...first, ...second]) left.merge('x', entry)
      for (const entry of [...second, ...first, ...second]) right.merge('x', entry)
      expect(left.getNormalised('x')).toBe(right.getNormalised('x'))
    }), { seed: 7 })
  })

  it('replaces an estimate by the actual cost, so that a wrong hint leaves no trace', () => {
    const ledger = createLedger('own')
    ledger.charge('x', 1_000)
    ledger.settle('x', { charged: 1_000, cost: 100 })
    expect(ledger.getNormalised('x')).toBe(50)
    expect(ledger.getCopy('x')).toMatchObject({ total: 100, outstanding: 0 })
  })

  it('never lowers an account when it is raised, and forgets only the estimates of a zone that is gone', () => {
    const ledger = createLedger('own')
    ledger.merge('x', { zone: 'b', total: 40, lift: 0, outstanding: 60 })
    expect(ledger.raise('x', 10)).toBe(false)
    expect(ledger.clearOutstanding('b')).toEqual(['x'])
    expect(ledger.getNormalised('x')).toBe(20)
  })
})
