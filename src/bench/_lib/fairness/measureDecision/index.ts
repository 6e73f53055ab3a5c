import type { RouterOperation } from '../../../../schedule/RouterOperation'
import { ZoneScheduler } from '../../../../schedule/ZoneScheduler'

const TARGETS = 160
const SLOTS = 8
const WARM_UP = 5_000
const DECISIONS = 30_000
const LONG_QUEUE = 1_000_000

/**
 * Measures the CPU time of one decision in microseconds: a release with its final cost, and the grant to the next
 * account.
 */
export function measureDecision (sizes: { accounts: number, backlogged: number }): number {
  const scheduler = new ZoneScheduler({ zone: 'z', term: 1, getWeight: () => 1, isTargetOpen: () => true })
  scheduler.setTargets(Array.from({ length: TARGETS }, (_, index) => ({ name: `e${index}`, service: 's', slots: SLOTS })))
  const settled = Array.from({ length: sizes.accounts }, (_, index) => ({ account: `a${index}`, service: 's', cost: index % 97 }))
  const backlog = settled.slice(0, sizes.backlogged).map(({ account }) => ({ type: 'backlog' as const, account, service: 's', waiting: LONG_QUEUE, estimate: 100 }))
  const grantIds: number[] = []
  let lastGrantId = 0
  const collectGrants = (effects: ReturnType<ZoneScheduler['tick']>): void => {
    for (const effect of effects) {
      if (effect.type !== 'grant') continue
      lastGrantId = effect.grant.id
      grantIds.push(lastGrantId)
    }
  }
  collectGrants(scheduler.start(0, { routers: ['r'], zones: [] }))
  collectGrants(scheduler.handleRegister(0, 'r', { session: 1, held: [], ledger: [], settled, backlog }))
  const runDecisions = (count: number): void => {
    for (let index = 0; index < count; index++) {
      const operations: RouterOperation[] = [{ type: 'release', id: grantIds.shift()!, cost: 50 + index % 101, isHealthy: true }]
      collectGrants(scheduler.handleBatch(index / 1_000, 'r', { session: 1, lastGrantId, operations }) as ReturnType<ZoneScheduler['tick']>)
    }
  }
  runDecisions(WARM_UP)
  const before = process.cpuUsage()
  runDecisions(DECISIONS)
  const { user, system } = process.cpuUsage(before)
  return (user + system) / DECISIONS
}
