import { BufferBudget } from '.'

describe('BufferBudget', () => {
  // Guards against short responses that end because other responses have no end.
  it('evicts the holder of the most bytes when the holders together exceed it', () => {
    const budget = new BufferBudget({ maxBytes: 100 })
    const evicted: string[] = []
    const hold = (name: string, bytes: number): { evict: () => void } => {
      const holder = { evict: () => { evicted.push(name) } }
      budget.set(holder, bytes)
      return holder
    }
    hold('short', 10)
    const endless = hold('endless', 40)
    hold('other', 30)
    budget.set(endless, 60)
    expect(evicted).toEqual([])
    hold('last', 5)
    expect(evicted).toEqual(['endless'])
    expect([budget.totalBytes, budget.evictions]).toEqual([45, 1])
  })

  it('counts only what is held now', () => {
    const budget = new BufferBudget({ maxBytes: 100 })
    const holder = { evict: () => { throw new Error('evicted') } }
    for (let i = 0; i < 10; i++) {
      budget.set(holder, 90)
      budget.set(holder, 20)
      budget.release(holder)
      budget.release(holder)
    }
    expect([budget.totalBytes, budget.evictions]).toEqual([0, 0])
  })
})
