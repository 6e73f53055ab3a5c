import { computeRetainedOffset } from '.'

/** Entries of a log after offset 10, each with a command of 100 bytes. */
const getEntry = (offset: number) => offset > 10 && offset <= 50 ? { offset, term: 1, command: new Uint8Array(100) } : undefined

describe('computeRetainedOffset', () => {
  it.each([
    ['the number of entries', 50, { entries: 5, bytes: 10_000 }, 45],
    // Guards against large commands that fill the memory although their number is small.
    ['the size of the commands', 50, { entries: 100, bytes: 350 }, 47],
    ['the entries that are held', 12, { entries: 100, bytes: 10_000 }, 10],
    ['nothing if even the newest entry is too large', 50, { entries: 5, bytes: 50 }, 50]
  ])('limits what is kept by %s', (_title, throughOffset, limits, expected) => {
    expect(computeRetainedOffset(getEntry, throughOffset, limits)).toBe(expected)
  })
})
