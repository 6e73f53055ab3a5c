import { TargetLoads } from '.'

describe('TargetLoads', () => {
  it('includes the load that other routers reported, as long as the reports are recent', () => {
    const loads = new TargetLoads()
    loads.add('t', { tokens: 1_000 })
    loads.setPeerLoads({ routers: 9, targets: [['t', 2, 500], ['u', 1, 100]] }, 0)
    expect(loads.get('t', 100)).toEqual({ running: 3, tokens: 1_500 })
    expect(loads.get('u', 100)).toEqual({ running: 1, tokens: 100 })
    expect(loads.get('t', 5_000)).toEqual({ running: 1, tokens: 1_000 })
    expect(loads.createReport()).toEqual([['t', 1, 1_000]])
  })

  // Guards against a busy target that looks idle because a request was released twice.
  it('counts the end of a request once', () => {
    const loads = new TargetLoads()
    const release = loads.add('t', { tokens: 10 })
    loads.add('t', { tokens: 5 })
    release()
    release()
    expect(loads.get('t', 0)).toEqual({ running: 1, tokens: 5 })
  })
})
