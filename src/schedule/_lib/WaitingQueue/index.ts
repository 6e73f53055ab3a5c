import type { AdmissionRequest } from '../../AdmissionRequest'
import type { GrantOperation } from '../../GrantOperation'
import type { RouterOperation } from '../../RouterOperation'
import type { GrantOrderedQueue } from '../GrantOrderedQueue'
import type { RunFunction } from '../RunFunction'
import type { WaitingRequest } from '../WaitingRequest'

type Backlog = Extract<RouterOperation, { type: 'backlog' }>

/** Waiting requests of one account for one service. */
interface Flow {
  account: string
  service: string
  entries: Map<string, WaitingRequest>
  /** Oldest request when the backlog was last reported to the scheduler. */
  reportedHead?: WaitingRequest
  estimateSum: number
}

/**
 * Waiting requests of a router, grouped into one flow per account and service. Records the flows whose backlog must be
 * reported to the scheduler.
 */
export class WaitingQueue {
  /** The queue that p-queue uses. It holds the functions that start the requests. */
  queue!: GrantOrderedQueue
  readonly #flows = new Map<string, Flow>()
  readonly #countByAccount = new Map<string, number>()
  readonly #changedFlows = new Set<string>()

  static getFlowKey (request: { account: string, service: string }): string {
    return `${request.account}/${request.service}`
  }

  countWaiting (account: string): number {
    return this.#countByAccount.get(account) ?? 0
  }

  add (entry: WaitingRequest): void {
    const { account, service } = entry.request
    const key = WaitingQueue.getFlowKey(entry.request)
    const flow = this.#flows.get(key) ?? { account, service, entries: new Map(), estimateSum: 0 }
    this.#flows.set(key, flow)
    flow.entries.set(entry.id, entry)
    flow.estimateSum += entry.request.estimate
    this.#countByAccount.set(account, this.countWaiting(account) + 1)
    this.#changedFlows.add(key)
  }

  /** Removes a request that still waits. Returns false if it already has a grant. */
  remove (entry: WaitingRequest): boolean {
    const key = WaitingQueue.getFlowKey(entry.request)
    if (!this.queue.remove(key, entry.id)) return false
    this.#removeEntry(key, entry)
    this.#changedFlows.add(key)
    return true
  }

  hasEligible (grant: GrantOperation): boolean {
    return this.#findEligible(grant) !== undefined
  }

  /** Matches a grant to the oldest request that may use its target. Returns the function that starts the request. */
  take (grant: GrantOperation): RunFunction | undefined {
    const entry = this.#findEligible(grant)
    if (!entry) return undefined
    const key = WaitingQueue.getFlowKey(grant)
    entry.grant = grant
    this.#removeEntry(key, entry)
    const flow = this.#flows.get(key)
    // The scheduler counts its own grants, so a new report is needed only if the oldest request now has another prefix
    // hash or number of excluded targets than the one that was the oldest at the last report.
    if (flow && !hasSimilarConstraints(getHead(flow).request, flow.reportedHead?.request)) this.#changedFlows.add(key)
    return this.queue.dequeueFrom(key, id => id === entry.id)
  }

  addChange (request: { account: string, service: string }): void {
    this.#changedFlows.add(WaitingQueue.getFlowKey(request))
  }

  /** Returns the backlogs of the flows that changed since the last call. A flow without requests has a count of 0. */
  takeChanges (): Backlog[] {
    const changes = [...this.#changedFlows].map(key => this.#createBacklog(key))
    this.#changedFlows.clear()
    return changes
  }

  /** Returns the backlogs of all flows for a full report, and clears the record of changed flows. */
  takeAll (): Backlog[] {
    this.#changedFlows.clear()
    return [...this.#flows.keys()].map(key => this.#createBacklog(key))
  }

  #findEligible (grant: GrantOperation): WaitingRequest | undefined {
    for (const entry of this.#flows.get(WaitingQueue.getFlowKey(grant))?.entries.values() ?? []) {
      if (!entry.request.excludedTargets?.has(grant.target)) return entry
    }
    return undefined
  }

  #removeEntry (key: string, entry: WaitingRequest): void {
    const flow = this.#flows.get(key)!
    flow.entries.delete(entry.id)
    flow.estimateSum -= entry.request.estimate
    if (flow.entries.size === 0) this.#flows.delete(key)
    const count = this.countWaiting(flow.account) - 1
    if (count > 0) this.#countByAccount.set(flow.account, count)
    else this.#countByAccount.delete(flow.account)
  }

  #createBacklog (key: string): Backlog {
    const flow = this.#flows.get(key)
    if (!flow) {
      const [account, service] = key.split('/')
      return { type: 'backlog', account, service, waiting: 0, estimate: 0 }
    }
    const { account, service, entries } = flow
    const head = getHead(flow)
    flow.reportedHead = head
    const { prefixHash } = head.request
    const estimate = flow.estimateSum / entries.size
    return { type: 'backlog', account, service, waiting: entries.size, estimate, prefixHash, excluded: listCommonExclusions(flow) }
  }
}

function getHead (flow: Flow): WaitingRequest {
  const [head] = flow.entries.values()
  return head
}

/** Compares the prefix hash and the number of excluded targets, but not which targets are excluded. */
function hasSimilarConstraints (a: AdmissionRequest, b: AdmissionRequest | undefined): boolean {
  return b !== undefined && a.prefixHash === b.prefixHash && a.excludedTargets?.size === b.excludedTargets?.size
}

/** Targets that every request of the flow excludes; undefined if there is none. */
function listCommonExclusions (flow: Flow): string[] | undefined {
  let common: string[] | undefined
  for (const { request } of flow.entries.values()) {
    if (!request.excludedTargets?.size) return undefined
    common = common ? common.filter(target => request.excludedTargets!.has(target)) : [...request.excludedTargets]
    if (common.length === 0) return undefined
  }
  return common
}
