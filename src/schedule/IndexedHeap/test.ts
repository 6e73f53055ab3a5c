import fc from 'fast-check'
import { IndexedHeap } from '.'

describe('IndexedHeap', () => {
  it('takes keys in order after any sequence of changes, so that a changed priority never leaves a key out of place', () => {
    const step = fc.record({ key: fc.integer({ min: 0, max: 20 }), priority: fc.integer({ min: 0, max: 9 }), isRemoved: fc.boolean() })
    fc.assert(fc.property(fc.array(step, { maxLength: 100 }), steps => {
      const heap = new IndexedHeap<number>()
      const model = new Map<number, number>()
      for (const { key, priority, isRemoved } of steps) {
        if (isRemoved) expect(heap.remove(key)).toBe(model.delete(key))
        else {
          heap.set(key, priority)
          model.set(key, priority)
        }
      }
      const taken: number[] = []
      for (let key = heap.take(); key !== undefined; key = heap.take()) taken.push(model.get(key)!)
      expect(taken).toEqual([...model.values()].sort((a, b) => a - b))
    }), { seed: 7 })
  })

  it('takes keys of equal priority in the order in which they were set, so that accounts with equal service alternate', () => {
    const heap = new IndexedHeap<string>()
    for (const key of ['a', 'b', 'c']) heap.set(key, 1)
    expect([heap.take(), heap.take(), heap.take()]).toEqual(['a', 'b', 'c'])
  })
})
