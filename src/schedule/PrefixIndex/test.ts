import { PrefixIndex } from '.'

describe('PrefixIndex', () => {
  it.each([
    ['applies events in order', [[1, 'stored', 7], [2, 'stored', 8]], [true, true]],
    ['ignores repeated events', [[1, 'stored', 7], [2, 'evicted', 7], [1, 'stored', 7]], [false, false]],
    ['clears the prefixes of the target after a gap, because an eviction may be missed', [[1, 'stored', 7], [3, 'stored', 8]], [false, true]]
  ] as const)('%s', (_case, events, expected) => {
    const index = new PrefixIndex()
    for (const [seq, kind, prefixHash] of events) index.apply('e1', [{ seq, kind, prefixHash }])
    expect([index.has('e1', 7), index.has('e1', 8)]).toEqual(expected)
  })
})
