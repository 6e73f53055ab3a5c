import type { Link } from '../../../../../link/Link'
import { RouterTable } from '.'

function createLink (): { link: Link, close: () => void } {
  const listeners: Array<() => void> = []
  return { link: { onClose: (listener: () => void) => { listeners.push(listener) } } as unknown as Link, close: () => listeners.forEach(listener => listener()) }
}

describe('RouterTable', () => {
  let removed: string[]
  let table: RouterTable

  beforeEach(() => {
    jest.useFakeTimers()
    removed = []
    table = new RouterTable({ onRemoved: id => { removed.push(id) } })
  })
  afterEach(() => {
    table.close()
    jest.useRealTimers()
  })

  // Guards against a copy of the requests that stays wrong after a message was lost.
  it('removes requests that a load report does not name, and returns those that are not known', () => {
    const { link } = createLink()
    table.get(link).requests.add('1').add('2')
    expect(table.observe(link, { placements: ['2', '3'], reported: 2 })).toEqual(['3'])
    expect(removed).toEqual(['1:1'])
    expect(table.get(link)).toMatchObject({ reported: 2, requests: new Set(['2']) })
  })

  // Guards against a router of an older version, whose calls would end with each of its reports.
  it('keeps the requests of a router that does not name them', () => {
    const { link } = createLink()
    table.get(link).requests.add('1')
    expect(table.observe(link, { placements: undefined, reported: 1 })).toEqual([])
    expect(removed).toEqual([])
  })

  it('removes the requests of a router whose link closes or that falls silent', () => {
    const [closing, silent, busy] = [createLink(), createLink(), createLink()]
    for (const { link } of [closing, silent, busy]) table.get(link).requests.add('1')
    closing.close()
    expect(removed).toEqual(['1:1'])
    for (let i = 0; i < 6; i++) {
      jest.advanceTimersByTime(250)
      table.observe(busy.link, { placements: ['1'], reported: 1 })
    }
    expect(removed).toEqual(['1:1', '2:1'])
    expect(table.size).toBe(2)
  })

  // Guards against a stalled scheduler that takes all routers for lost before it reads their reports.
  it('reads reports that arrived during a stall of this process before it takes routers for lost', () => {
    const { link } = createLink()
    table.get(link).requests.add('1')
    jest.advanceTimersByTime(250)
    const realNow = performance.now()
    const now = jest.spyOn(performance, 'now').mockImplementation(() => realNow + 3_000)
    jest.advanceTimersByTime(250)
    expect(removed).toEqual([])
    now.mockRestore()
  })
})
