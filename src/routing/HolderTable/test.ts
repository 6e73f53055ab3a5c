import { HolderTable } from '.'

describe('HolderTable', () => {
  it('remembers what was sent where, until it is probably evicted or the target ended', () => {
    const holders = new HolderTable()
    holders.record('t', [{ id: 'a', tokens: 1 }, { id: 'b', tokens: 1 }], 0)
    expect([holders.has('t', 'a', 10), holders.has('u', 'a', 10), holders.has('t', 'a', 30_000)]).toEqual([true, false, false])
    holders.removeTarget('t')
    expect(holders.has('t', 'b', 10)).toBe(false)
  })

  // Guards against memory that grows with every prompt ever seen.
  it('forgets the least recently used parts', () => {
    const holders = new HolderTable()
    for (let i = 0; i < 9_000; i++) holders.record('t', [{ id: `p${i}`, tokens: 1 }], 0)
    expect([holders.has('t', 'p0', 1), holders.has('t', 'p8999', 1)]).toEqual([false, true])
  })
})
