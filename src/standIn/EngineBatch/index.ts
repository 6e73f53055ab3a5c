interface BatchRequest {
  prefillMs: number
  tokens: number
  onToken: (index: number) => void
  onEnd: () => void
}

interface RunningRequest {
  request: BatchRequest
  generated: number
  nextTokenAtMs: number
}

interface EngineBatchOptions {
  /** Called before each step, because the speed may change while the engine runs. */
  getSpeed: () => { maxBatch: number, tokenMs: number, slowdownPerRequest: number }
  /** Called after requests were admitted to the batch, removed or completed, with the new numbers. */
  onChange: (load: { running: number, waiting: number }) => void
}

/**
 * @name EngineBatch
 * @category Stand-in
 * @summary Simulates continuous batching: requests join and leave the batch between tokens.
 *
 * @description
 * At most `maxBatch` requests generate tokens at once; the others wait in order of arrival. `add` returns a function
 * that cancels the request, whether it is waiting or running.
 *
 * @param options - Size and speed of the batch, and a listener for its load.
 *
 * @example
 * const cancel = batch.add({ prefillMs: 10, tokens: 3, onToken, onEnd })
 */
export class EngineBatch {
  readonly #options: EngineBatchOptions
  readonly #running = new Set<RunningRequest>()
  readonly #waiting = new Set<BatchRequest>()
  #cancelTimer?: () => void

  constructor (options: EngineBatchOptions) {
    this.#options = options
  }

  add (request: BatchRequest): () => void {
    this.#waiting.add(request)
    this.#admitWaiting()
    return () => this.#remove(request)
  }

  /** Removes all requests. */
  clear (): void {
    this.#waiting.clear()
    this.#running.clear()
    this.#admitWaiting()
  }

  #remove (request: BatchRequest): void {
    this.#waiting.delete(request)
    for (const running of this.#running) if (running.request === request) this.#running.delete(running)
    this.#admitWaiting()
  }

  #admitWaiting (): void {
    for (const request of this.#waiting) {
      if (this.#running.size >= this.#options.getSpeed().maxBatch) break
      this.#waiting.delete(request)
      this.#running.add({ request, generated: 0, nextTokenAtMs: performance.now() + request.prefillMs })
    }
    this.#options.onChange({ running: this.#running.size, waiting: this.#waiting.size })
    this.#scheduleStep()
  }

  #scheduleStep (): void {
    this.#cancelTimer?.()
    this.#cancelTimer = undefined
    if (this.#running.size === 0) return
    const dueInMs = Math.min(...Array.from(this.#running, running => running.nextTokenAtMs)) - performance.now()
    if (dueInMs <= 0) {
      const immediate = setImmediate(() => this.#step())
      this.#cancelTimer = () => clearImmediate(immediate)
    } else {
      const timer = setTimeout(() => this.#step(), dueInMs)
      this.#cancelTimer = () => clearTimeout(timer)
    }
  }

  #step (): void {
    const nowMs = performance.now()
    const { tokenMs, slowdownPerRequest } = this.#options.getSpeed()
    const stepMs = tokenMs * (1 + slowdownPerRequest * (this.#running.size - 1))
    let hasEnded = false
    for (const running of this.#running) {
      // `onToken` may cancel the request, which removes it from the batch.
      while (this.#running.has(running) && running.nextTokenAtMs <= nowMs && running.generated < running.request.tokens) {
        running.request.onToken(running.generated++)
        running.nextTokenAtMs += stepMs
      }
      if (running.generated < running.request.tokens || !this.#running.delete(running)) continue
      running.request.onEnd()
      hasEnded = true
    }
    if (hasEnded) this.#admitWaiting()
    else this.#scheduleStep()
  }
}
