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

  // Guards against a hot router that refuses almost all prompts while no scheduler can be reached, although the engines run
  // mostly its prompts.
  it('gives a router with much of the load a larger share, and all routers together not more than the whole', () => {
    const [hot, idle] = [new TargetLoads(), new TargetLoads()]
    for (let i = 0; i < 30; i++) hot.add('t1', { tokens: 1 })
    hot.setPeerLoads({ routers: 2, targets: [] }, 0)
    idle.setPeerLoads({ routers: 2, targets: [['t1', 30, 30]] }, 0)
    expect([hot.ownShare, idle.ownShare]).toEqual([0.75, 0.25])
  })
})
