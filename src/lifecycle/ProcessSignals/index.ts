interface ProcessSignalsOptions {
  /** Called once, at the first SIGTERM or SIGINT. */
  onStop: (signal: NodeJS.Signals) => void
  /** Called at each signal that arrives after the first SIGTERM or SIGINT. */
  onIgnore: (signal: NodeJS.Signals) => void
}

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const
const RELOAD_SIGNAL = 'SIGHUP'

/**
 * @name ProcessSignals
 * @category Lifecycle
 * @summary Handles SIGTERM, SIGINT and SIGHUP from its creation to the end of the process.
 *
 * @description
 * The handlers belong to the process and are never removed: without a handler these signals end the process at once, and
 * with it every request that is completed during a graceful stop. A SIGHUP before the first `onReload` is kept for it.
 *
 * @param options - Functions to call at signals.
 *
 * @example
 * const signals = new ProcessSignals({ onStop: () => lifecycle.close(), onIgnore: signal => logger.info('Ignored.', { signal }) })
 * const unsubscribe = signals.onReload(() => reloadSettings())
 */
export class ProcessSignals {
  readonly #options: ProcessSignalsOptions
  #isStopping = false
  #reload: (() => void) | undefined
  #isReloadPending = false

  constructor (options: ProcessSignalsOptions) {
    this.#options = options
    process.on(RELOAD_SIGNAL, () => this.#handleReload())
    for (const signal of STOP_SIGNALS) process.on(signal, () => this.#handleStop(signal))
  }

  /** Calls the listener at each SIGHUP until the process stops or the returned function is called. */
  onReload (listener: () => void): () => void {
    this.#reload = listener
    if (this.#isReloadPending) listener()
    this.#isReloadPending = false
    return () => { this.#reload = undefined }
  }

  #handleStop (signal: NodeJS.Signals): void {
    if (this.#isStopping) return this.#options.onIgnore(signal)
    this.#isStopping = true
    this.#options.onStop(signal)
  }

  #handleReload (): void {
    if (this.#isStopping) return this.#options.onIgnore(RELOAD_SIGNAL)
    if (this.#reload) this.#reload()
    else this.#isReloadPending = true
  }
}
