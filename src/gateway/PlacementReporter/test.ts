import type { RunningPlacement } from '../../contract/RunningPlacement'
import type { Link } from '../../link/Link'
import { PlacementReporter } from '.'

function createLink (): { link: Link, sent: Array<[string, unknown]> } {
  const sent: Array<[string, unknown]> = []
  const link = { isClosed: false, send: (type: string, body: unknown) => { sent.push([type, body]) } }
  return { link: link as unknown as Link, sent }
}

function createReporter (ids: string[]): PlacementReporter {
  return new PlacementReporter({ listRunning: () => ids.map(id => ({ request: { id } }) as unknown as RunningPlacement) })
}

const listIds = (body: unknown): string[] => (body as RunningPlacement[]).map(({ request }) => request.id)

describe('PlacementReporter', () => {
  // Guards against a scheduler that ends a call as if it had been complete, because the list without it overtook its event.
  it('sends the events of calls before it lists the requests without them', () => {
    const { link, sent } = createLink()
    const reporter = createReporter([])
    reporter.add('1', link)
    reporter.start('2')
    reporter.record('1', 'lost')
    expect(reporter.listRequests()).toEqual(['2'])
    expect(sent).toEqual([['reportProgress', [['1', 'lost']]]])
    reporter.settle('2')
    expect(reporter.listRequests()).toEqual([])
  })

  // Guards against a repeated report of all running calls, which costs the scheduler as much as their placement.
  it('reports all calls to a new scheduler, and then only those that it does not know', () => {
    const { link, sent } = createLink()
    const reporter = createReporter(['1', '2', '3'])
    reporter.add('1', undefined)
    expect(reporter.register(link)).toBe(1)
    expect(reporter.register(link)).toBe(0)
    reporter.add('2', undefined)
    reporter.add('3', link)
    expect(reporter.register(link)).toBe(1)
    expect(sent.map(([, body]) => listIds(body))).toEqual([['1'], ['2']])
    reporter.report(['3', 'ended'], link)
    expect(listIds(sent[2][1])).toEqual(['3'])
    reporter.report(['ended'], link)
    expect(sent).toHaveLength(3)
  })

  // Guards against a call that no scheduler charges to its account, because a replica that did not lead dropped the report.
  it('counts a call as charged only when the scheduler knows it', () => {
    const { link, sent } = createLink()
    const reporter = createReporter(['1'])
    reporter.add('1', undefined)
    reporter.register(link)
    reporter.report(['1'], link)
    reporter.report([], link)
    reporter.report(['1'], link)
    expect(sent.map(([, body]) => (body as Array<{ isCounted: boolean }>).map(({ isCounted }) => isCounted))).toEqual([[false], [false], [true]])
  })

  it('counts the events of calls whose scheduler is lost', () => {
    const { link, sent } = createLink()
    const reporter = createReporter([])
    reporter.add('1', link)
    Object.assign(link, { isClosed: true })
    reporter.record('1', 'read')
    reporter.record('1', 'ended')
    reporter.record('unknown', 'ended')
    reporter.listRequests()
    expect(reporter.unsentProgress).toBe(2)
    expect(sent).toEqual([])
  })
})
