import type { AdmissionRequest } from '../../AdmissionRequest'
import type { GrantOperation } from '../../GrantOperation'
import type { RouterOperation } from '../../RouterOperation'
import type { GrantedQueue } from '../GrantedQueue'
import type { RunFunction } from '../RunFunction'
import type { WaitingRequest } from '../WaitingRequest'

type Backlog = Extract<RouterOperation, { type: 'backlog' }>

interface Flow {
  account: string
  service: string
  entries: Map<string, WaitingRequest>
  /** Head that the scheduler was told about. */
  reportedHead?: WaitingRequest
  estimateSum: number
}

/** The waiting requests of a router by account and service, and which of these counts the scheduler has to be told. */
export class WaitingQueue {
  /** The queue of p-queue, which holds the functions that start the requests. */
  queue!: GrantedQueue
  readonly #flows = new Map<string, Flow>()
  readonly #countByAccount = new Map<string, number>()
  readonly #changed = new Set<string>()

  static getFlow (request: { account: string, service: string }): string {
    return `${request.account}/${request.service}`
  }

  countOf (account: string): number {
    return this.#countByAccount.get(account) ?? 0
  }

  add (entry: WaitingRequest): void {
    const { account, service } = entry.request
    const key = WaitingQueue.getFlow(entry.request)
    const flow = this.#flows.get(key) ?? { account, service, entries: new Map(), estimateSum: 0 }
    this.#flows.set(key, flow)
    flow.entries.set(entry.id, entry)
    flow.estimateSum += entry.request.estimate
    this.#countByAccount.set(account, this.countOf(account) + 1)
    this.#changed.add(key)
  }

  /** Removes a request that still waits. Returns false if it has a grant already. */
  remove (entry: WaitingRequest): boolean {
    const key = WaitingQueue.getFlow(entry.request)
    if (!this.queue.remove(key, entry.id)) return false
    this.#removeEntry(key, entry)
    this.#changed.add(key)
    return true
  }

  has (grant: GrantOperation): boolean {
    return this.#find(grant) !== undefined
  }

  /** Matches a grant to the oldest request that may use its target. */
  take (grant: GrantOperation): RunFunction | undefined {
    const entry = this.#find(grant)
    if (!entry) return undefined
    const key = WaitingQueue.getFlow(grant)
    entry.grant = grant
    this.#removeEntry(key, entry)
    const flow = this.#flows.get(key)
    // The scheduler counts its own grants, so only a head with other wishes than the one it knows is news.
    if (flow && !isAlike(getHead(flow).request, flow.reportedHead?.request)) this.#changed.add(key)
    return this.queue.dequeueFrom(key, id => id === entry.id)
  }

  addChange (request: { account: string, service: string }): void {
    this.#changed.add(WaitingQueue.getFlow(request))
  }

  takeChanges (): Backlog[] {
    const changes = [...this.#changed].map(key => this.#createBacklog(key))
    this.#changed.clear()
    return changes
  }

  listAll (): Backlog[] {
    this.#changed.clear()
    return [...this.#flows.keys()].map(key => this.#createBacklog(key))
  }

  #find (grant: GrantOperation): WaitingRequest | undefined {
    for (const entry of this.#flows.get(WaitingQueue.getFlow(grant))?.entries.values() ?? []) {
      if (!entry.request.excludedTargets?.has(grant.target)) return entry
    }
    return undefined
  }

  #removeEntry (key: string, entry: WaitingRequest): void {
    const flow = this.#flows.get(key)!
    flow.entries.delete(entry.id)
    flow.estimateSum -= entry.request.estimate
    if (flow.entries.size === 0) this.#flows.delete(key)
    const count = this.countOf(flow.account) - 1
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
    return { type: 'backlog', account, service, waiting: entries.size, estimate, prefixHash, excluded: listExcluded(flow) }
  }
}

function getHead (flow: Flow): WaitingRequest {
  const [head] = flow.entries.values()
  return head
}

function isAlike (a: AdmissionRequest, b: AdmissionRequest | undefined): boolean {
  return b !== undefined && a.prefixHash === b.prefixHash && a.excludedTargets?.size === b.excludedTargets?.size
}

/** Targets that none of the requests may use. */
function listExcluded (flow: Flow): string[] | undefined {
  let common: string[] | undefined
  for (const { request } of flow.entries.values()) {
    if (!request.excludedTargets?.size) return undefined
    common = common ? common.filter(target => request.excludedTargets!.has(target)) : [...request.excludedTargets]
    if (common.length === 0) return undefined
  }
  return common
}
