import type { SettingsTree } from '../../configuration/SettingsTree'
import { SettingsView } from '../../configuration/SettingsView'
import type { FleetStatus } from '../../contract/FleetStatus'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import type { RouterStatus } from '../../contract/RouterStatus'
import { OBSERVER_TIMEOUT_MS } from '../_lib/OBSERVER_TIMEOUT_MS'

interface RouterEntry extends Required<RouterStatus> {
  peer: LinkIdentity
  reportedAtMs: number
}

/**
 * @name FleetStatusTable
 * @category Instance
 * @summary The newest status reports that routers sent to this control replica.
 *
 * @description
 * A router counts as live for 6.5 s after its newest report. Times are milliseconds of the monotonic clock.
 *
 * @param startedAtMs - When this process began to accept reports.
 *
 * @example
 * const table = new FleetStatusTable(performance.now())
 * table.record(link.peer, status, performance.now())
 */
export class FleetStatusTable {
  readonly #startedAtMs: number
  readonly #entries = new Map<string, RouterEntry>()

  constructor (startedAtMs: number) {
    this.#startedAtMs = startedAtMs
  }

  record (peer: LinkIdentity, status: RouterStatus, nowMs: number): void {
    const { running, accounts } = status.accounts ? { running: status.running, accounts: status.accounts } : this.#completeBriefReport(peer, status)
    this.#entries.set(peer.instance, { ...status, running, accounts, peer, reportedAtMs: nowMs })
  }

  /** Whether every live router has had time to report since this process started. */
  isSettled (nowMs: number): boolean {
    return nowMs - this.#startedAtMs > OBSERVER_TIMEOUT_MS
  }

  listInstances (nowMs: number): FleetStatus['instances'] {
    const sorted = this.#listLive(nowMs).sort((a, b) => a.peer.instance < b.peer.instance ? -1 : 1)
    return sorted.map(({ peer, isReady, offset, reportedAtMs, waiting, running }) => {
      const ageMs = Math.round(nowMs - reportedAtMs)
      return { instance: peer.instance, zone: peer.zone, isReady, offset, ageMs, waiting, running: computeSum(running.map(([, count]) => count)) }
    })
  }

  listTargets (tree: SettingsTree, nowMs: number): FleetStatus['targets'] {
    const live = this.#listLive(nowMs)
    return createView(tree).listAllTargets().map(({ name, service, zone, slots }) => {
      const running = computeSum(live.map(entry => findCount(entry.running, name)))
      return { target: name, service, zone, slots, running, state: this.#getState(name, live, nowMs) }
    })
  }

  listAccounts (tree: SettingsTree, nowMs: number): FleetStatus['accounts'] {
    const activity = new Map<string, { waiting: number, running: number }>()
    for (const [account, waiting, running] of this.#listLive(nowMs).flatMap(entry => entry.accounts)) {
      const known = activity.get(account) ?? { waiting: 0, running: 0 }
      activity.set(account, { waiting: known.waiting + waiting, running: known.running + running })
    }
    return createView(tree).listAccounts().map(({ name, weight }) => ({ account: name, weight, ...activity.get(name) ?? { waiting: 0, running: 0 } }))
  }

  #getState (target: string, live: readonly RouterEntry[], nowMs: number): FleetStatus['targets'][number]['state'] {
    const draining = live.filter(entry => entry.draining.includes(target))
    if (draining.length === 0) return 'in-service'
    const isEmpty = live.every(entry => findCount(entry.running, target) === 0)
    return draining.length === live.length && isEmpty && this.isSettled(nowMs) ? 'drained' : 'draining'
  }

  /**
   * A brief report has no accounts, and counts of draining targets only. The other details come from earlier reports of
   * the same incarnation of the router.
   */
  #completeBriefReport (peer: LinkIdentity, status: RouterStatus): Pick<RouterEntry, 'running' | 'accounts'> {
    const known = this.#entries.get(peer.instance)
    if (known?.peer.incarnation !== peer.incarnation) return { running: status.running, accounts: [] }
    const others = known.running.filter(([target]) => !status.draining.includes(target))
    return { running: [...others, ...status.running], accounts: known.accounts }
  }

  #listLive (nowMs: number): RouterEntry[] {
    for (const [instance, { reportedAtMs }] of this.#entries) {
      if (nowMs - reportedAtMs > OBSERVER_TIMEOUT_MS) this.#entries.delete(instance)
    }
    return [...this.#entries.values()]
  }
}

function createView (tree: SettingsTree): SettingsView {
  const view = new SettingsView()
  view.update(tree)
  return view
}

function findCount (counts: ReadonlyArray<[string, number]>, target: string): number {
  return counts.find(([name]) => name === target)?.[1] ?? 0
}

function computeSum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
