interface StopListeners {
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
 * @summary Handles SIGHUP from its creation, and SIGTERM and SIGINT from `onStop`, to the end of the process.
 *
 * @description
 * The handlers belong to the process and are never removed: without a handler these signals end the process at once, and
 * with it every request that is completed during a graceful stop. A SIGHUP before `onReload` is kept for it.
 *
 * @example
 * const signals = new ProcessSignals()
 * signals.onStop({ onStop: () => lifecycle.close(), onIgnore: signal => logger.info('Ignored.', { signal }) })
 * const unsubscribe = signals.onReload(() => reloadSettings())
 */
export class ProcessSignals {
  #stopListeners: StopListeners | undefined
  #isStopping = false
  #reload: (() => void) | undefined
  #isReloadPending = false

  constructor () {
    process.on(RELOAD_SIGNAL, () => this.#handleReload())
  }

  /** Sets the listeners of a stop. Until then, SIGTERM and SIGINT end the process at once. */
  onStop (listeners: StopListeners): void {
    this.#stopListeners = listeners
    for (const signal of STOP_SIGNALS) process.on(signal, () => this.#handleStop(signal))
  }

  /** Sets the listener of SIGHUP, until the process stops or the returned function is called. There is one at a time. */
  onReload (listener: () => void): () => void {
    this.#reload = listener
    if (this.#isReloadPending && !this.#isStopping) listener()
    this.#isReloadPending = false
    return () => { this.#reload = undefined }
  }

  #handleStop (signal: NodeJS.Signals): void {
    if (this.#isStopping) return this.#stopListeners!.onIgnore(signal)
    this.#isStopping = true
    this.#stopListeners!.onStop(signal)
  }

  #handleReload (): void {
    if (this.#isStopping) return this.#stopListeners!.onIgnore(RELOAD_SIGNAL)
    if (this.#reload) this.#reload()
    else this.#isReloadPending = true
  }
}
