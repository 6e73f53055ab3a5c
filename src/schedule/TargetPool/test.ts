import { TargetPool } from '.'

function createPool (closed: string[] = []): TargetPool {
  const pool = new TargetPool({ isTargetOpen: target => !closed.includes(target) })
  pool.setTargets([{ name: 'e1', slots: 2 }, { name: 'e2', slots: 2 }])
  return pool
}

describe('TargetPool', () => {
  it.each([
    ['the target that holds the prefix, although it is more loaded', { prefixHash: 7 }, [], 'e1'],
    ['the least loaded target without a prefix', {}, [], 'e2'],
    ['another target when the holder is excluded', { prefixHash: 7, excluded: new Set(['e1']) }, [], 'e2'],
    ['another target when the holder is closed', { prefixHash: 7 }, ['e1'], 'e2'],
    ['none when the only open target is excluded', { excluded: new Set(['e2']) }, ['e1'], undefined]
  ])('chooses %s', (_case, criteria, closed, expected) => {
    const pool = createPool(closed)
    pool.prefixes.apply('e1', [{ seq: 1, kind: 'stored', prefixHash: 7 }])
    pool.take('e1', 0)
    expect(pool.choose(criteria)).toBe(expected)
  })

  it('never chooses a prefix holder without free slots, so that requests with a popular prefix do not exceed its limit', () => {
    const pool = createPool()
    pool.prefixes.apply('e1', [{ seq: 1, kind: 'stored', prefixHash: 7 }])
    pool.take('e1', 0)
    pool.take('e1', 0)
    expect(pool.choose({ prefixHash: 7 })).toBe('e2')
  })
})
