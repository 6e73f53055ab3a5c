import { AppError } from '../../contract/AppError'
import type { PlacementProgress } from '../../contract/PlacementProgress'
import type { PlacementRequest } from '../../contract/PlacementRequest'
import type { PlacementVerdict } from '../../contract/PlacementVerdict'
import type { PromptScheduler } from '../PromptScheduler'

/** Interval at which the scheduler reconsiders waiting requests. */
const STEP_INTERVAL_MS = 15

/**
 * @name PlacementQueue
 * @category Routing
 * @summary Runs a PromptScheduler and resolves each waiting request with its verdict.
 *
 * @param scheduler - Decides on the requests.
 * @throws AppError `shutting-down` for requests that are waiting when the queue is closed.
 *
 * @example
 * const queue = new PlacementQueue(scheduler)
 * const verdict = await queue.request(request)
 * queue.record(request.id, 'ended')
 */
export class PlacementQueue {
  readonly #scheduler: PromptScheduler
  readonly #pending = new Map<string, { resolve: (verdict: PlacementVerdict) => void, reject: (error: AppError) => void }>()
  #timer: NodeJS.Timeout | undefined

  constructor (scheduler: PromptScheduler) {
    this.#scheduler = scheduler
  }

  request (request: PlacementRequest): Promise<PlacementVerdict> {
    const verdict = this.#scheduler.request(request, performance.now())
    if (verdict) return Promise.resolve(verdict)
    this.#timer ??= setInterval(() => this.#step(), STEP_INTERVAL_MS)
    return new Promise((resolve, reject) => this.#pending.set(request.id, { resolve, reject }))
  }

  /**
   * Records the progress of a call, `elapsedMs` after its placement if given. A request that is still waiting is completed
   * with the verdict `none`.
   */
  record (id: string, event: PlacementProgress[number][1], options: { elapsedMs?: number } = {}): void {
    this.#scheduler.record(id, event, performance.now(), options)
    this.#complete(id, { type: 'none' })
  }

  close (): void {
    clearInterval(this.#timer)
    for (const { reject } of this.#pending.values()) reject(new AppError('shutting-down', 'The scheduler is shutting down.'))
    this.#pending.clear()
  }

  #step (): void {
    for (const [id, verdict] of this.#scheduler.step(performance.now())) this.#complete(id, verdict)
    if (this.#pending.size > 0) return
    clearInterval(this.#timer)
    this.#timer = undefined
  }

  #complete (id: string, verdict: PlacementVerdict): void {
    this.#pending.get(id)?.resolve(verdict)
    this.#pending.delete(id)
  }
}
