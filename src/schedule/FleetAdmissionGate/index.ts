import PQueue, { type QueueAddOptions } from 'p-queue'
import type { SettingsView } from '../../configuration/SettingsView'
import { AppError } from '../../contract/AppError'
import { GrantedQueue } from '../_lib/GrantedQueue'
import type { HeldGrant } from '../_lib/HeldGrant'
import { ServiceRate } from '../_lib/ServiceRate'
import { WaitingQueue } from '../_lib/WaitingQueue'
import type { WaitingRequest } from '../_lib/WaitingRequest'
import type { AdmissionGate } from '../AdmissionGate'
import type { AdmissionRequest } from '../AdmissionRequest'
import type { GrantOperation } from '../GrantOperation'
import type { RouterOperation } from '../RouterOperation'
import type { RouterReport } from '../RouterReport'
import type { Slot } from '../Slot'

/** Progress is reported when the cost grew by this factor, so that a long stream causes few messages. */
const PROGRESS_FACTOR = 1.5
const DEFAULT_MAX_QUEUED = 200
/** Longest delay that setTimeout takes; a longer one would fire at once. */
const MAX_TIMER_MS = 2_147_483_647

interface FleetAdmissionGateOptions {
  view: Pick<SettingsView, 'listTargets' | 'getTarget' | 'getAccount'>
  isTargetOpen: (target: string) => boolean
  /** Called when there is something for the scheduler to take. */
  onChange?: () => void
}

/**
 * @name FleetAdmissionGate
 * @category Schedule
 * @summary Queues the requests of a router until the scheduler of its zone grants them slots.
 *
 * @description
 * Queues are bounded for each account. A request that leaves the queue without a slot fails with outcome `not-run`.
 * The owner takes the operations for the scheduler by `takeOperations` and passes grants to `acceptGrant`.
 *
 * @param options - Settings, whether a target is open, listener for changes.
 *
 * @example
 * const gate = new FleetAdmissionGate({ view, isTargetOpen: () => true })
 * const slot = await gate.admit(request)
 */
export class FleetAdmissionGate implements AdmissionGate {
  readonly #options: FleetAdmissionGateOptions
  readonly #waiting = new WaitingQueue()
  readonly #held = new Map<number, HeldGrant>()
  readonly #rates = new Map<string, ServiceRate>()
  readonly #unmatched: GrantOperation[] = []
  readonly #queue: PQueue<GrantedQueue, QueueAddOptions & { account: string, cost: number }>
  #operations: RouterOperation[] = []
  #lastGrantId = 0
  #nextRequestId = 0
  #isStopped = false

  constructor (options: FleetAdmissionGateOptions) {
    this.#options = options
    const waiting = this.#waiting
    const chooseNext = (): ReturnType<GrantedQueue['dequeue']> => this.#chooseNext()
    const QueueClass = class extends GrantedQueue {
      constructor () {
        super()
        this.chooseNext = chooseNext
        waiting.queue = this
      }
    }
    this.#queue = new PQueue({ concurrency: 1, queueClass: QueueClass })
  }

  /** Newest grant that was received in this session. */
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
    for (const { grant } of this.#held.values()) {
      if (grant.target === target) count++
    }
    return count
  }

  /** Refuses new requests and resolves when the queued and running ones have ended. */
  async stop (): Promise<void> {
    this.#isStopped = true
    await this.#queue.onIdle()
  }

  acceptGrant (grant: GrantOperation): void {
    this.#lastGrantId = Math.max(this.#lastGrantId, grant.id)
    const isUsable = this.#options.view.getTarget(grant.target) !== undefined && this.#waiting.has(grant)
    if (!isUsable) return this.#refuseGrant(grant)
    this.#held.set(grant.id, { grant, estimate: 0, cost: 0, reportedCost: 0 })
    this.#unmatched.push(grant)
    this.#updateConcurrency()
  }

  /** What the scheduler has to be told, in order. Backlogs come last, as counts that include the grants so far. */
  takeOperations (): RouterOperation[] {
    const operations = [...this.#operations, ...this.#waiting.takeChanges()]
    this.#operations = []
    return operations
  }

  /** Full report for a scheduler that does not know this router yet. Grants get valid again under the new session. */
  createReport (): Pick<RouterReport, 'held' | 'backlog'> {
    this.#operations = []
    const held = [...this.#held.values()].map(({ grant, estimate, cost }) => {
      const { id, account, service, target, lentBy } = grant
      return { id, account, service, target, charged: Math.max(estimate, cost), lentBy }
    })
    this.#lastGrantId = Math.max(0, ...this.#held.keys())
    return { held, backlog: this.#waiting.listAll() }
  }

  #checkRequest (request: AdmissionRequest): void {
    if (this.#isStopped) throw new AppError('shutting-down', 'The router is stopping.')
    if (request.signal?.aborted) throw new AppError('caller-gone', 'The caller left before the queue.', { outcome: 'not-run' })
    if (performance.now() >= request.deadlineAtMs) throw new AppError('deadline-exceeded', 'The deadline passed before the queue.')
    const { view, isTargetOpen } = this.#options
    const hasTarget = view.listTargets(request.service).some(({ name }) => !request.excludedTargets?.has(name) && isTargetOpen(name))
    if (!hasTarget) throw new AppError('no-target', `No target of ${request.service} is available.`)
    const waiting = this.#waiting.countOf(request.account)
    if (waiting < (view.getAccount(request.account)?.maxQueued ?? DEFAULT_MAX_QUEUED)) return
    const retryAfterS = this.#getRate(request.account).computeRetryAfterS(performance.now(), waiting)
    throw new AppError('queue-full', `The queue of account ${request.account} is full.`, { retryAfterS })
  }

  #enqueue (request: AdmissionRequest, caller: { resolve: (slot: Slot) => void, reject: (error: AppError) => void }): void {
    const id = `${this.#nextRequestId++}`
    const timer = setTimeout(() => cancel(new AppError('deadline-exceeded', 'The deadline passed in the queue.')), Math.min(request.deadlineAtMs - performance.now(), MAX_TIMER_MS)).unref()
    const handleAbort = (): void => cancel(new AppError('caller-gone', 'The caller left the queue.', { outcome: 'not-run' }))
    const clear = (): void => {
      clearTimeout(timer)
      request.signal?.removeEventListener('abort', handleAbort)
    }
    const cancel = (error: AppError): void => {
      clear()
      if (!this.#waiting.remove(entry)) return
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
    this.#waiting.add(entry)
    void this.#queue.add(run, { id, account: WaitingQueue.getFlow(request), cost: request.estimate })
    this.#options.onChange?.()
  }

  /** Called by p-queue when it may start a job: the oldest request that the next grant suits. */
  #chooseNext (): ReturnType<GrantedQueue['dequeue']> {
    for (let grant = this.#unmatched.shift(); grant; grant = this.#unmatched.shift()) {
      const run = this.#waiting.take(grant)
      if (run) return run
      this.#held.delete(grant.id)
      this.#refuseGrant(grant)
    }
    return undefined
  }

  #createSlot (entry: WaitingRequest, onEnd: () => void): Slot {
    const grant = entry.grant!
    const held = this.#held.get(grant.id)!
    held.estimate = entry.request.estimate
    if (grant.estimate !== held.estimate) this.#report({ type: 'start', id: grant.id, estimate: held.estimate })
    this.#getRate(grant.account).observe(performance.now())
    return {
      target: grant.target,
      url: this.#options.view.getTarget(grant.target)!.url,
      charge: cost => this.#addCost(held, cost),
      release: result => {
        if (!this.#held.delete(grant.id)) return
        this.#updateConcurrency()
        this.#report({ type: 'release', id: grant.id, ...result })
        onEnd()
      }
    }
  }

  #addCost (held: HeldGrant, cost: number): void {
    held.cost += cost
    if (held.cost <= Math.max(held.estimate, held.reportedCost * PROGRESS_FACTOR)) return
    held.reportedCost = held.cost
    this.#report({ type: 'progress', id: held.grant.id, cost: held.cost })
  }

  #refuseGrant (grant: GrantOperation): void {
    this.#waiting.addChange(grant)
    this.#report({ type: 'decline', id: grant.id })
  }

  #report (operation: RouterOperation): void {
    this.#operations.push(operation)
    this.#options.onChange?.()
  }

  #updateConcurrency (): void {
    this.#queue.concurrency = Math.max(1, this.#held.size)
  }

  #getRate (account: string): ServiceRate {
    const rate = this.#rates.get(account) ?? new ServiceRate()
    this.#rates.set(account, rate)
    return rate
  }
}
