import { RendezvousOrder } from '.'

const ids = ['t1', 't2', 't3', 't4', 't5']
const findFirst = (order: Map<string, number>) => [...order].find(([, rank]) => rank === 0)![0]

describe('RendezvousOrder', () => {
  it('spreads keys evenly and independently of the order of the targets', () => {
    const counts = new Map<string, number>()
    for (let i = 0; i < 5_000; i++) {
      const first = findFirst(new RendezvousOrder().computeRanks(`key${i}`, ids))
      expect(first).toBe(findFirst(new RendezvousOrder().computeRanks(`key${i}`, [...ids].reverse())))
      counts.set(first, (counts.get(first) ?? 0) + 1)
    }
    for (const count of counts.values()) expect(Math.abs(count - 1_000)).toBeLessThan(150)
  })

  // Guards against losing the cached parts of all prompts when one target is removed.
  it('moves only the keys of a target that is removed', () => {
    const order = new RendezvousOrder()
    for (let i = 0; i < 500; i++) {
      const first = findFirst(order.computeRanks(`key${i}`, ids))
      if (first !== 't3') expect(findFirst(order.computeRanks(`key${i}`, ids.filter(id => id !== 't3')))).toBe(first)
    }
  })
})
