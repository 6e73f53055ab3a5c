import { LoadTable } from '.'

describe('LoadTable', () => {
  it('sums the reports of the other routers', () => {
    const table = new LoadTable()
    table.record('a', { targets: [['t', 1, 20]] }, 0)
    table.record('b', { targets: [['t', 2, 40]] }, 0)
    table.record('c', { targets: [['u', 1, 1]] }, 0)
    expect(table.computeSummary('c', 100)).toEqual({ routers: 3, targets: [['t', 3, 60]] })
  })

  // Guards against targets that look busy for ever because a killed router's load still counts.
  it('drops the load of a router that no longer reports', () => {
    const table = new LoadTable()
    table.record('a', { targets: [['t', 1, 20]] }, 0)
    expect(table.computeSummary('b', 2_000)).toEqual({ routers: 1, targets: [] })
  })

  it('replaces a report by the next one of the same router', () => {
    const table = new LoadTable()
    table.record('a', { targets: [['t', 1, 20], ['u', 4, 80]] }, 0)
    table.record('b', { targets: [['t', 2, 40]] }, 0)
    table.record('a', { targets: [['t', 3, 60]] }, 100)
    expect(table.computeSummary('c', 100)).toEqual({ routers: 2, targets: [['t', 5, 100]] })
    expect(table.computeSummary('b', 1_550)).toEqual({ routers: 1, targets: [['t', 3, 60]] })
  })

  // Guards against a leader that is late right after an election, because the cost of each report grew with the number of
  // routers. When each summary summed all reports, this number of routers took more than a minute.
  it('handles the reports of very many routers', () => {
    const table = new LoadTable()
    const routers = Array.from({ length: 6_000 }, (_, i) => `edge-${i}`)
    const report = { targets: Array.from({ length: 40 }, (_, i): [string, number, number] => [`i-${i}`, 1, 100]) }
    for (const router of routers) {
      table.record(router, report, 0)
      table.computeSummary(router, 0)
    }
    expect(table.computeSummary(routers[0], 0).targets[0]).toEqual(['i-0', 5_999, 599_900])
  })
})
