import { ControlCluster } from './_lib/ControlCluster'

describe('the replicated log with three control processes', () => {
  let cluster: ControlCluster
  beforeEach(async () => { cluster = await ControlCluster.start(3) })
  afterEach(() => cluster.close())

  it('keeps every accepted change when all replicas are killed and started again after 500 changes', async () => {
    const results = await Promise.all(Array.from({ length: 500 }, (_, i) => cluster.proposeChange(`a${i}`)))
    expect(results.every(({ status }) => status === 'accepted')).toBe(true)
    await Promise.all([0, 1, 2].map(index => cluster.kill(index)))
    await Promise.all([0, 1, 2].map(index => cluster.startReplica(index)))
    await cluster.proposeChange('after')
    const tree = await cluster.fetchSettings(await cluster.waitForLeader())
    expect([...tree.list('/teams/t')]).toHaveLength(501)
    expect(await cluster.proposeChange('a0')).toEqual(results[0])
  })

  it('loses no accepted change when the leader is killed under writes, and elects another one', async () => {
    const accepted: string[] = []
    const recordIfAccepted = async (id: string): Promise<void> => {
      if ((await cluster.proposeChange(id)).status === 'accepted') accepted.push(id)
    }
    for (let round = 0; round < 3; round++) {
      const leader = await cluster.waitForLeader()
      const writes = Array.from({ length: 60 }, (_, i) => recordIfAccepted(`k${round}-${i}`))
      await Promise.race(writes)
      await cluster.kill(leader)
      await Promise.all(writes)
      await cluster.startReplica(leader)
    }
    expect(accepted).toHaveLength(180)
    const leader = await cluster.waitForLeader()
    await cluster.proposeChange('last')
    const tree = await cluster.fetchSettings(leader)
    expect(accepted.filter(id => tree.get(`/teams/t/accounts/${id}`) === undefined)).toEqual([])
    expect(tree.getRevision('/teams/t')).toBe(181)
  })

  it('accepts no stale change or read at a leader that was paused and resumed', async () => {
    const leader = await cluster.waitForLeader()
    await cluster.proposeChange('before')
    cluster.processes[leader]?.signal('SIGSTOP')
    expect((await cluster.proposeChange('race-a', { expectedRevision: 1 })).status).toBe('accepted')
    // The paused leader reads these from its socket when it resumes, before it knows of the new term.
    const stale = [cluster.request(leader, 'propose', cluster.createProposal('race-b', { expectedRevision: 1 })), cluster.request(leader, 'confirmRead', { group: 'settings' })]
    cluster.processes[leader]?.signal('SIGCONT')
    const [proposed, read] = await Promise.allSettled(stale)
    expect(proposed.status === 'fulfilled' && (proposed.value as { status: string }).status === 'accepted').toBe(false)
    if (read.status === 'fulfilled') expect(read.value).toBeGreaterThanOrEqual((await cluster.getStatus(leader))!.commitOffset)
    expect((await cluster.proposeChange('race-b', { expectedRevision: 1 })).status).toBe('conflict')
    await cluster.waitFor(async () => (await cluster.fetchSettings(leader)).get('/teams/t/accounts/race-a') !== undefined)
    expect((await cluster.fetchSettings(leader)).getRevision('/teams/t')).toBe(2)
  })

  it('readmits a replica with a lost disk as a learner, and survives the loss of another disk right after the repair', async () => {
    for (let i = 0; i < 450; i++) await cluster.proposeChange(`d${i}`)
    for (let round = 0; round < 3; round++) {
      const lost = await cluster.waitForLeader()
      const before = (await cluster.getStatus(lost))!
      await cluster.loseDisk(lost)
      await cluster.proposeChange(`during-${round}`)
      await cluster.startReplica(lost)
      await cluster.waitFor(async () => {
        const status = await cluster.getStatus(await cluster.waitForLeader())
        return status!.isSettled && status!.members.some(({ instance, incarnation, kind }) => kind === 'voter' && instance === before.instance && incarnation !== before.incarnation)
      })
      // Read from the log, which has each step of the repair even if it was too short to be polled.
      const history = await cluster.loadMembershipChanges(await cluster.waitForLeader())
      const id = history.at(-1)!.voters.find(voter => voter.startsWith(`${before.instance}:`))!
      const [asLearner, asVoter] = [history.findIndex(({ learners }) => learners.includes(id)), history.findIndex(({ voters }) => voters.includes(id))]
      expect(asLearner).toBeGreaterThanOrEqual(0)
      expect(asVoter).toBeGreaterThan(asLearner)
      expect(history[asVoter].previousVoters).toContain(`${before.instance}:${before.incarnation}`)
    }
    const tree = await cluster.fetchSettings(await cluster.waitForLeader())
    expect([...tree.list('/teams/t')]).toHaveLength(453)
  })
})
