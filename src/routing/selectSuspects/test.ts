import { selectSuspects } from '.'

const createSuspect = (part: string, crashes: number, blockedMs: number) => ({ service: 's', part, crashes, blockedMs, targets: [] })

describe('selectSuspects', () => {
  it('selects the parts with the most crashes, and of these those that are blocked for the longest time', () => {
    const suspects = [createSuspect('a', 1, 0), createSuspect('b', 3, 10), createSuspect('c', 2, 5), createSuspect('d', 2, 90)]
    expect(selectSuspects(suspects, { max: 2 }).map(({ part }) => part)).toEqual(['b', 'd'])
    expect(selectSuspects(suspects, { max: 4 })).toEqual(suspects)
  })
})
