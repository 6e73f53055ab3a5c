import fc from 'fast-check'
import { AccountLedger } from '.'

const createLedger = (zone: string): AccountLedger => new AccountLedger({ zone, getWeight: () => 2 })

describe('AccountLedger', () => {
  it('merges entries to the same state in any order and number, so that a rejoin after a partition can not double service', () => {
    const entry = fc.record({ zone: fc.constantFrom('a', 'b'), total: fc.nat(100), lift: fc.nat(100) })
    fc.assert(fc.property(fc.array(entry), fc.array(entry), (first, second) => {
      const [left, right] = [createLedger('own'), createLedger('own')]
      for (const entry of [...first, ...second]) left.merge('x', entry)
      for (const entry of [...second, ...first, ...second]) right.merge('x', entry)
      expect(left.getNormalisedService('x')).toBe(right.getNormalisedService('x'))
    }), { seed: 7 })
  })

  it('replaces an estimate by the actual cost, so that a wrong hint has no lasting effect', () => {
    const ledger = createLedger('own')
    ledger.charge('x', 1_000)
    ledger.settle('x', { charged: 1_000, cost: 100 })
    expect(ledger.getNormalisedService('x')).toBe(50)
    expect(ledger.getEntry('x')).toMatchObject({ total: 100, outstanding: 0 })
  })

  it('leaves an account unchanged when it is raised to a lower value, and clears only the estimates of an unreachable zone', () => {
    const ledger = createLedger('own')
    ledger.merge('x', { zone: 'b', total: 40, lift: 0, outstanding: 60 })
    expect(ledger.raise('x', 10)).toBe(false)
    expect(ledger.clearOutstanding('b')).toEqual(['x'])
    expect(ledger.getNormalisedService('x')).toBe(20)
  })
})
