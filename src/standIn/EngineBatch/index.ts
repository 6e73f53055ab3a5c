interface BatchWork {
  prefillMs: number
  tokens: number
  onToken: (index: number) => void
  onEnd: () => void
}

interface RunningWork {
  work: BatchWork
  generated: number
  nextTokenAtMs: number
}

interface EngineBatchOptions {
  /** Read before each step, so that the speed can change while the engine runs. */
  getSpeed: () => { maxBatch: number, tokenMs: number, slowdownPerRequest: number }
  /** Told after each change of the number of running and waiting requests. */
  onChange: (load: { running: number, waiting: number }) => void
}

/**
 * @name EngineBatch
 * @category Stand-in
 * @summary Continuous batching: requests join and leave the batch between tokens.
 *
 * @description
 * At most `maxBatch` requests generate at once; the others wait in order of arrival. `add` returns a function that
 * cancels the request wherever it is.
 *
 * @param options - Size and speed of the batch.
 *
 * @example
 * const cancel = batch.add({ prefillMs: 10, tokens: 3, onToken, onEnd })
 */
export class EngineBatch {
  readonly #options: EngineBatchOptions
  readonly #running = new Set<RunningWork>()
  readonly #waiting = new Set<BatchWork>()
  #cancelTimer?: () => void

  constructor (options: EngineBatchOptions) {
    this.#options = options
  }

  add (work: BatchWork): () => void {
    this.#waiting.add(work)
    this.#admitWaiting()
    return () => this.#remove(work)
  }

  #remove (work: BatchWork): void {
    this.#waiting.delete(work)
    for (const running of this.#running) if (running.work === work) this.#running.delete(running)
    this.#admitWaiting()
  }

  #admitWaiting (): void {
    for (const work of this.#waiting) {
      if (this.#running.size >= this.#options.getSpeed().maxBatch) break
      this.#waiting.delete(work)
      this.#running.add({ work, generated: 0, nextTokenAtMs: performance.now() + work.prefillMs })
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
      // A request may be cancelled by its own token.
      while (this.#running.has(running) && running.nextTokenAtMs <= nowMs && running.generated < running.work.tokens) {
        running.work.onToken(running.generated++)
        running.nextTokenAtMs += stepMs
      }
      if (running.generated < running.work.tokens || !this.#running.delete(running)) continue
      running.work.onEnd()
      hasEnded = true
    }
    if (hasEnded) this.#admitWaiting()
    else this.#scheduleStep()
  }
}
