interface Registration {
  name: string
  close: () => Promise<void> | void
}

interface LifecycleObserver {
  onError: (name: string, error: unknown) => void
}

/**
 * @name LifecycleManager
 * @category Lifecycle
 * @summary Closes the components of a process in reverse order of their registration.
 *
 * @description
 * Each component registers a close function when it is opened. `close` runs these functions one after another; if one
 * fails, its error is reported and the rest still run. A component that is registered meanwhile is closed next, and
 * one that is registered later at once, because a stop may begin while the process is still starting. A second `close` returns the promise of the first.
 *
 * @param observer - Notified of close functions that fail.
 *
 * @example
 * const timer = setTimeout(() => {}, 60_000)
 * const lifecycle = new LifecycleManager()
 * lifecycle.register('timer', () => clearTimeout(timer))
 * await lifecycle.close()
 */
export class LifecycleManager {
  readonly #registrations: Registration[] = []
  readonly #observer?: LifecycleObserver
  #closing?: Promise<void>
  #isClosed = false

  constructor (observer?: LifecycleObserver) {
    this.#observer = observer
  }

  register (name: string, close: Registration['close']): void {
    this.#registrations.push({ name, close })
    if (this.#isClosed) void this.#closeAll()
  }

  get isClosing (): boolean {
    return this.#closing !== undefined
  }

  close (): Promise<void> {
    this.#closing ??= this.#closeAll()
    return this.#closing
  }

  async #closeAll (): Promise<void> {
    for (let next = this.#registrations.pop(); next; next = this.#registrations.pop()) {
      try {
        await next.close()
      } catch (error) {
        this.#observer?.onError(next.name, error)
      }
    }
    this.#isClosed = true
  }
}
