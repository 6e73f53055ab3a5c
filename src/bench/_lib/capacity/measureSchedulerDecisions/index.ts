import type { GrantOperation } from '../../../../schedule/GrantOperation'
import type { SchedulerEffect } from '../../../../schedule/SchedulerEffect'
import { ZoneScheduler } from '../../../../schedule/ZoneScheduler'
import { measureCpuMs } from '../../measureCpuMs'
import { measureHeap } from '../../measureHeap'
import type { ScalingSeries } from '../../ScalingSeries'

const ROUTERS = 20
const SERVICES = 7
const ZONES = 16
const TARGETS = 163
const SLOTS = 8
const ACCOUNTS = [1_000, 4_000, 7_000, 10_000, 13_000]
const BACKLOGGED = [100, 325, 650, 1_300]
const DECISIONS = 20_000
const WAITING = 1_000

/** Measures the memory of the zone scheduler and the CPU time from a release to the next grant. */
export async function measureSchedulerDecisions (): Promise<ScalingSeries[]> {
  const decisions: Array<[number, number]> = []
  for (const backlogged of BACKLOGGED) decisions.push([backlogged, await measureDecision(backlogged)])
  const heap = ACCOUNTS.map((accounts): [number, number] => [accounts, measureHeap(() => createScheduler({ accounts, backlogged: 0 }))])
  return [
    { role: 'zone scheduler', quantity: 'CPU of a message with a release and a backlog, and the grant that follows', unit: 'µs', variable: 'backlogged accounts (13,000 known)', points: decisions, projectedSize: 1_300 },
    { role: 'zone scheduler', quantity: 'heap', unit: 'bytes', variable: `accounts (totals of ${ZONES} availability zones each)`, points: heap, projectedSize: 13_000 }
  ]
}

interface LoadedScheduler {
  scheduler: ZoneScheduler
  grants: Array<{ router: string, grant: GrantOperation }>
}

function createScheduler ({ accounts, backlogged }: { accounts: number, backlogged: number }): LoadedScheduler {
  const scheduler = new ZoneScheduler({ zone: 'zone-0', term: 1, getWeight: () => 1, isTargetOpen: () => true })
  const grants: LoadedScheduler['grants'] = []
  scheduler.setTargets(Array.from({ length: TARGETS }, (_, index) => ({ name: `runner-${index}`, service: `model-${index % SERVICES}`, slots: SLOTS })))
  const routers = Array.from({ length: ROUTERS }, (_, index) => `router-${index}`)
  collectGrants(scheduler.start(0, { routers, zones: [] }), grants)
  // The first tick marks the targets as open.
  collectGrants(scheduler.tick(0), grants)
  routers.forEach((router, position) => {
    const ledger = []
    const backlog = []
    for (let index = position; index < accounts; index += ROUTERS) {
      const [service, account] = [`model-${index % SERVICES}`, `account-${index}`]
      for (let zone = 0; zone < ZONES; zone++) ledger.push({ service, account, zone: `zone-${zone}`, total: index + zone, lift: 0 })
      if (index < backlogged) backlog.push({ type: 'backlog' as const, account, service, waiting: WAITING, estimate: 250 })
    }
    collectGrants(scheduler.handleRegister(1, router, { session: 1, held: [], settled: [], backlog, ledger }), grants)
  })
  return { scheduler, grants }
}

async function measureDecision (backlogged: number): Promise<number> {
  const { scheduler, grants } = createScheduler({ accounts: 13_000, backlogged })
  let nowMs = 1
  const cpuMs = await measureCpuMs(() => {
    for (let count = 0; count < DECISIONS; count++) {
      const { router, grant } = grants.shift()!
      nowMs += 0.01
      const { account, service } = grant
      const operations = [
        { type: 'release' as const, id: grant.id, cost: 100 + (grant.id * 37) % 300, isHealthy: true },
        { type: 'backlog' as const, account, service, waiting: WAITING, estimate: 250 }
      ]
      collectGrants(scheduler.handleBatch(nowMs, router, { session: 1, lastGrantId: grant.id, operations }), grants)
    }
  })
  return cpuMs * 1_000 / DECISIONS
}

function collectGrants (effects: Generator<SchedulerEffect, unknown>, grants: LoadedScheduler['grants']): void {
  for (const effect of effects) {
    if (effect.type === 'grant') grants.push({ router: effect.router, grant: effect.grant })
  }
}
