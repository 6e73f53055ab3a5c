import { ControlCluster } from './_lib/ControlCluster'

describe('the replicated log with three control processes', () => {
  let cluster: ControlCluster
  beforeEach(async () => { cluster = await ControlCluster.start(3) })
  afterEach(() => cluster.close())

  it('keeps every accepted change when all replicas are killed and started again after 500 changes', async () => {
    const results = await Promise.all(Array.from({ length: 500 }, (_, i) => cluster.change(`a${i}`)))
    expect(results.every(({ status }) => status === 'accepted')).toBe(true)
    await Promise.all([0, 1, 2].map(index => cluster.kill(index)))
    await Promise.all([0, 1, 2].map(index => cluster.startReplica(index)))
    await cluster.change('after')
    const tree = await cluster.fetchTree(await cluster.waitForLeader())
    expect([...tree.list('/teams/t')]).toHaveLength(501)
    expect(await cluster.change('a0')).toEqual(results[0])
  })
})
