import { TargetLoads } from '.'

describe('TargetLoads', () => {
  it('adds the reports of other routers to its own requests, while they are recent', () => {
    const loads = new TargetLoads()
    loads.add('t', { readMs: 50, tokens: 1_000 })
    loads.setOthers({ routers: 9, targets: [['t', 2, 30, 500], ['u', 1, 5, 100]] }, 0)
    expect(loads.get('t', 100)).toEqual({ running: 3, pendingMs: 80, tokens: 1_500 })
    expect(loads.get('u', 100)).toEqual({ running: 1, pendingMs: 5, tokens: 100 })
    expect(loads.get('t', 5_000)).toEqual({ running: 1, pendingMs: 50, tokens: 1_000 })
    expect(loads.createReport()).toEqual([['t', 1, 50, 1_000]])
  })

  // Guards against load that is released twice and then hides a busy target.
  it('counts the end of reading and of the request once', () => {
    const loads = new TargetLoads()
    const first = loads.add('t', { readMs: 50, tokens: 10 })
    loads.add('t', { readMs: 20, tokens: 5 })
    first.read()
    first.read()
    expect(loads.get('t', 0)).toEqual({ running: 2, pendingMs: 20, tokens: 15 })
    first.release()
    first.release()
    expect(loads.get('t', 0)).toEqual({ running: 1, pendingMs: 20, tokens: 5 })
  })
})
