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
})
