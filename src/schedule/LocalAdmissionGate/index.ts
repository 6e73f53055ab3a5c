import PQueue from 'p-queue'
import type { SettingsView } from '../../configuration/SettingsView'
import { AppError } from '../../contract/AppError'
import type { AdmissionGate } from '../AdmissionGate'
import type { AdmissionRequest } from '../AdmissionRequest'
import type { Slot } from '../Slot'

/**
 * @name LocalAdmissionGate
 * @category Schedule
 * @summary Admits requests first come, first served, without regard to the load of other routers.
 *
 * @description
 * Baseline of the fairness experiment. Each target has a queue whose concurrency is the target's number of slots. A
 * request joins the queue of the least loaded target.
 *
 * @param view - Settings with the targets of each service.
 *
 * @example
 * const gate = new LocalAdmissionGate(view)
 */
export class LocalAdmissionGate implements AdmissionGate {
  readonly #view: SettingsView
  readonly #queues = new Map<string, PQueue>()

  constructor (view: SettingsView) {
    this.#view = view
  }

  admit (request: AdmissionRequest): Promise<Slot> {
    const candidates = this.#view.listTargets(request.service)
      .filter(target => !request.excludedTargets?.has(target.name) && !this.#view.isDrainedByOperator(target.name))
    if (candidates.length === 0) return Promise.reject(new AppError('no-target', `No target of ${request.service} is available.`))
    const loads = candidates.map(target => {
      const queue = this.#getQueue(target.name, target.slots)
      return { target, queue, load: (queue.size + queue.pending) / target.slots }
    })
    const least = loads.reduce((best, next) => next.load < best.load ? next : best)
    return new Promise((resolve, reject) => {
      void least.queue.add(() => this.#runSlot(request, least.target, { onSlot: resolve, onError: reject }))
    })
  }

  countWaiting (): number {
    return [...this.#queues.values()].reduce((sum, queue) => sum + queue.size, 0)
  }

  countRunning (target: string): number {
    return this.#queues.get(target)?.pending ?? 0
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#queues.values()].map(queue => queue.onIdle()))
  }

  /** Passes a slot to the waiter and resolves when it is released. A request that can not run any more fails at once. */
  #runSlot (request: AdmissionRequest, target: { name: string, url: string }, waiter: { onSlot: (slot: Slot) => void, onError: (error: AppError) => void }): Promise<void> {
    if (request.signal?.aborted) waiter.onError(new AppError('caller-gone', 'The caller disconnected while the request was queued.', { outcome: 'not-run' }))
    else if (performance.now() > request.deadlineAtMs) waiter.onError(new AppError('deadline-exceeded', 'The deadline passed while the request was queued.'))
    else return new Promise(resolve => waiter.onSlot({ target: target.name, url: target.url, charge: () => {}, release: () => resolve() }))
    return Promise.resolve()
  }

  #getQueue (target: string, concurrency: number): PQueue {
    const queue = this.#queues.get(target) ?? new PQueue()
    queue.concurrency = concurrency
    this.#queues.set(target, queue)
    return queue
  }
}
