import PQueue, { type QueueAddOptions } from 'p-queue'
import type { SettingsView } from '../../configuration/SettingsView'
import { AppError } from '../../contract/AppError'
import { GrantOrderedQueue } from '../_lib/GrantOrderedQueue'
import type { HeldGrant } from '../_lib/HeldGrant'
import { QueueDepartureInterval } from '../_lib/QueueDepartureInterval'
import { WaitingQueue } from '../_lib/WaitingQueue'
import type { WaitingRequest } from '../_lib/WaitingRequest'
import type { AdmissionGate } from '../AdmissionGate'
import type { AdmissionRequest } from '../AdmissionRequest'
import type { GrantOperation } from '../GrantOperation'
import type { RouterOperation } from '../RouterOperation'
import type { RouterReport } from '../RouterReport'
import type { Slot } from '../Slot'

/** Progress is reported again when the cost has grown by this factor, so that a long stream causes few messages. */
const PROGRESS_REPORT_FACTOR = 1.5
const DEFAULT_MAX_QUEUED = 200
/** Longest delay that setTimeout supports; a longer one would fire at once. */
const MAX_TIMER_MS = 2_147_483_647

interface FleetAdmissionGateOptions {
  view: Pick<SettingsView, 'listTargets' | 'getTarget' | 'getAccount'>
  isTargetOpen: (target: string) => boolean
  /** Called when operations for the scheduler are pending. */
  onChange?: () => void
}

/**
 * @name FleetAdmissionGate
 * @category Schedule
 * @summary Queues the requests of a router until the scheduler of its zone grants them slots.
 *
 * @description
 * The queue of each account is bounded. A request that leaves its queue without a slot fails with outcome `not-run`.
 * The owner sends the operations from `takeOperations` to the scheduler and passes the scheduler's grants to
 * `acceptGrant`.
 *
 * @param options - Settings, whether a target is open, listener for pending operations.
 *
 * @example
 * const gate = new FleetAdmissionGate({ view, isTargetOpen: () => true })
 * const slot = await gate.admit(request)
 */
export class FleetAdmissionGate implements AdmissionGate {
  readonly #options: FleetAdmissionGateOptions
  readonly #waitingRequests = new WaitingQueue()
  readonly #heldGrants = new Map<number, HeldGrant>()
  readonly #departureIntervals = new Map<string, QueueDepartureInterval>()
  readonly #unmatchedGrants: GrantOperation[] = []
  readonly #queue: PQueue<GrantOrderedQueue, QueueAddOptions & { account: string, cost: number }>
  #operations: RouterOperation[] = []
  #lastGrantId = 0
  #nextRequestId = 0
  #isStopped = false

  constructor (options: FleetAdmissionGateOptions) {
    this.#options = options
    const waiting = this.#waitingRequests
    const chooseNext = (): ReturnType<GrantOrderedQueue['dequeue']> => this.#chooseNext()
    const QueueClass = class extends GrantOrderedQueue {
      constructor () {
        super()
        this.chooseNext = chooseNext
        waiting.queue = this
      }
    }
    this.#queue = new PQueue({ concurrency: 1, queueClass: QueueClass })
  }

  /** Id of the newest grant received in this session. */
  get lastGrantId (): number {
    return this.#lastGrantId
  }

  async admit (request: AdmissionRequest): Promise<Slot> {
    this.#checkRequest(request)
    return await new Promise<Slot>((resolve, reject) => this.#enqueue(request, { resolve, reject }))
  }

  countWaiting (): number {
    return this.#queue.size
  }

  countRunning (target: string): number {
    let count = 0
    for (const { grant } of this.#heldGrants.values()) {
      if (grant.target === target) count++
    }
    return count
  }

  /** Refuses new requests and resolves when all queued and running requests have ended. */
  async stop (): Promise<void> {
    this.#isStopped = true
    await this.#queue.onIdle()
  }

  acceptGrant (grant: GrantOperation): void {
    this.#lastGrantId = Math.max(this.#lastGrantId, grant.id)
    const isUsable = this.#options.view.getTarget(grant.target) !== undefined && this.#waitingRequests.hasEligible(grant)
    if (!isUsable) return this.#refuseGrant(grant)
    this.#heldGrants.set(grant.id, { grant, estimate: 0, cost: 0, reportedCost: 0 })
    this.#unmatchedGrants.push(grant)
    this.#updateConcurrency()
  }

  /** Removes and returns the pending operations in order. Backlogs come last and reflect the grants received so far. */
  takeOperations (): RouterOperation[] {
    const operations = [...this.#operations, ...this.#waitingRequests.takeChanges()]
    this.#operations = []
    return operations
  }

  /**
   * Full report for a scheduler that does not know this router yet. The grants that it lists are valid in the new
   * session. Discards the pending operations.
   */
  createReport (): Pick<RouterReport, 'held' | 'backlog'> {
    this.#operations = []
    const held = [...this.#heldGrants.values()].map(({ grant, estimate, cost }) => {
      const { id, account, service, target, lentBy } = grant
      return { id, account, service, target, charged: Math.max(estimate, cost), lentBy }
    })
    this.#lastGrantId = Math.max(0, ...this.#heldGrants.keys())
    return { held, backlog: this.#waitingRequests.takeAll() }
  }

  #checkRequest (request: AdmissionRequest): void {
    if (this.#isStopped) throw new AppError('shutting-down', 'The router is stopping.')
    if (request.signal?.aborted) throw new AppError('caller-gone', 'The caller disconnected before the request was queued.', { outcome: 'not-run' })
    if (performance.now() >= request.deadlineAtMs) throw new AppError('deadline-exceeded', 'The deadline passed before the request was queued.')
    const { view, isTargetOpen } = this.#options
    const hasOpenTarget = view.listTargets(request.service).some(({ name }) => !request.excludedTargets?.has(name) && isTargetOpen(name))
    if (!hasOpenTarget) throw new AppError('no-target', `No target of ${request.service} is available.`)
    const waiting = this.#waitingRequests.countWaiting(request.account)
    if (waiting < (view.getAccount(request.account)?.maxQueued ?? DEFAULT_MAX_QUEUED)) return
    const retryAfterS = this.#getDepartureInterval(request.account).computeRetryAfterS(performance.now(), waiting)
    throw new AppError('queue-full', `The queue of account ${request.account} is full.`, { retryAfterS })
  }

  #enqueue (request: AdmissionRequest, caller: { resolve: (slot: Slot) => void, reject: (error: AppError) => void }): void {
    const id = `${this.#nextRequestId++}`
    const timer = setTimeout(() => cancel(new AppError('deadline-exceeded', 'The deadline passed while the request was queued.')), Math.min(request.deadlineAtMs - performance.now(), MAX_TIMER_MS)).unref()
    const handleAbort = (): void => cancel(new AppError('caller-gone', 'The caller disconnected while the request was queued.', { outcome: 'not-run' }))
    const clear = (): void => {
      clearTimeout(timer)
      request.signal?.removeEventListener('abort', handleAbort)
    }
    const cancel = (error: AppError): void => {
      clear()
      if (!this.#waitingRequests.remove(entry)) return
      this.#updateConcurrency()
      caller.reject(error)
      this.#options.onChange?.()
    }
    const entry: WaitingRequest = { id, request }
    const run = (): Promise<void> => {
      clear()
      return new Promise(resolve => caller.resolve(this.#createSlot(entry, resolve)))
    }
    request.signal?.addEventListener('abort', handleAbort, { once: true })
    this.#waitingRequests.add(entry)
    void this.#queue.add(run, { id, account: WaitingQueue.getFlowKey(request), cost: request.estimate })
    this.#options.onChange?.()
  }

  /** Called by p-queue when it may start a job. Returns the oldest request that may use the next unmatched grant. */
  #chooseNext (): ReturnType<GrantOrderedQueue['dequeue']> {
    for (let grant = this.#unmatchedGrants.shift(); grant; grant = this.#unmatchedGrants.shift()) {
      const run = this.#waitingRequests.take(grant)
      if (run) return run
      this.#heldGrants.delete(grant.id)
      this.#refuseGrant(grant)
    }
    return undefined
  }

  #createSlot (entry: WaitingRequest, onEnd: () => void): Slot {
    const grant = entry.grant!
    const held = this.#heldGrants.get(grant.id)!
    held.estimate = entry.request.estimate
    if (grant.estimate !== held.estimate) this.#report({ type: 'start', id: grant.id, estimate: held.estimate })
    this.#getDepartureInterval(grant.account).observe(performance.now())
    return {
      target: grant.target,
      url: this.#options.view.getTarget(grant.target)!.url,
      charge: cost => this.#addCost(held, cost),
      release: result => {
        if (!this.#heldGrants.delete(grant.id)) return
        this.#updateConcurrency()
        this.#report({ type: 'release', id: grant.id, ...result })
        onEnd()
      }
    }
  }

  #addCost (held: HeldGrant, cost: number): void {
    held.cost += cost
    if (held.cost <= Math.max(held.estimate, held.reportedCost * PROGRESS_REPORT_FACTOR)) return
    held.reportedCost = held.cost
    this.#report({ type: 'progress', id: held.grant.id, cost: held.cost })
  }

  #refuseGrant (grant: GrantOperation): void {
    this.#waitingRequests.addChange(grant)
    this.#report({ type: 'decline', id: grant.id })
  }

  #report (operation: RouterOperation): void {
    this.#operations.push(operation)
    this.#options.onChange?.()
  }

  #updateConcurrency (): void {
    this.#queue.concurrency = Math.max(1, this.#heldGrants.size)
  }

  #getDepartureInterval (account: string): QueueDepartureInterval {
    const interval = this.#departureIntervals.get(account) ?? new QueueDepartureInterval()
    this.#departureIntervals.set(account, interval)
    return interval
  }
}
