import { SchedulerElection } from '.'

const create = (instance: string, startedAt: number): SchedulerElection => new SchedulerElection(0, { instance, startedAt, hasPeers: true })

/** Ticks until a time and returns the effects with their times. */
function tickUntil (election: SchedulerElection, fromMs: number, untilMs: number): string[] {
  const effects: string[] = []
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 50) {
    for (const effect of election.tick(nowMs)) effects.push(`${effect.type}@${nowMs}`)
  }
  return effects
}

describe('SchedulerElection', () => {
  it('lets the oldest router lead first and the next one only later, so that normally one claims the role', () => {
    const [first, second] = [create('r1', 1), create('r2', 2)]
    first.addMember('r2', 2)
    second.addMember('r1', 1)
    expect(tickUntil(first, 0, 2_000)).toEqual(['lead@300'])
    expect(tickUntil(second, 0, 2_000)).toEqual(['lead@700'])
  })

  it.each([
    ['a lower term', 2, 'r1', []],
    ['the same term from a router with a larger id', 3, 'r9', []],
    ['the same term from a router with a smaller id', 3, 'r1', ['resign', 'follow']],
    ['a higher term', 4, 'r9', ['resign', 'follow']]
  ])('handles a heartbeat with %s while it leads, so that two schedulers never both stay active', (_case, term, instance, expected) => {
    const election = create('r2', 2)
    for (const effect of election.handleHeartbeat(0, 'r0', { term: 2, isLeaving: false })) expect(effect.type).toBe('follow')
    tickUntil(election, 0, 1_200)
    expect([election.isLeading, election.term]).toEqual([true, 3])
    expect([...election.handleHeartbeat(1_300, instance, { term, isLeaving: false })].map(effect => effect.type)).toEqual(expected)
  })

  it('claims the role a second after the scheduler was heard last, and at once when it leaves', () => {
    const election = create('r2', 2)
    election.addMember('r1', 1)
    for (let nowMs = 0; nowMs <= 5_000; nowMs += 250) {
      tickUntil(election, nowMs, nowMs)
      expect([...election.handleHeartbeat(nowMs, 'r1', { term: 1, isLeaving: false })].length).toBe(nowMs === 0 ? 1 : 0)
    }
    expect(tickUntil(election, 5_050, 7_000)).toEqual(['lead@6000'])
    const other = create('r3', 3)
    expect([...other.handleHeartbeat(0, 'r1', { term: 1, isLeaving: true })]).toEqual([])
    expect(tickUntil(other, 0, 100)).toEqual(['lead@0'])
  })

  it('gives up the role after a pause, because another router may have taken it', () => {
    const election = create('r1', 1)
    tickUntil(election, 0, 1_000)
    expect([...election.tick(5_000)]).toEqual([{ type: 'resign' }])
    expect(tickUntil(election, 5_050, 5_900)).toEqual([])
  })
})
