interface Waiter {
  offset: number
  notify: () => void
}

/**
 * @name OffsetWaiters
 * @category Log
 * @summary Callers that wait until an offset is applied.
 *
 * @example
 * const waiters = new OffsetWaiters()
 * const applied = waiters.wait(7, 1000)
 * waiters.notify(7)
 * await applied // true
 */
export class OffsetWaiters {
  readonly #waiters = new Set<Waiter>()

  /** Resolves to true once the offset is applied, or to false after the timeout. */
  wait (offset: number, timeoutMs: number): Promise<boolean> {
    return new Promise(resolve => {
      const complete = (isApplied: boolean): void => {
        clearTimeout(timer)
        this.#waiters.delete(waiter)
        resolve(isApplied)
      }
      const waiter: Waiter = { offset, notify: () => complete(true) }
      const timer = setTimeout(() => complete(false), timeoutMs)
      this.#waiters.add(waiter)
    })
  }

  /** Completes the waits for all offsets up to the applied one. */
  notify (appliedOffset: number): void {
    for (const waiter of [...this.#waiters]) {
      if (waiter.offset <= appliedOffset) waiter.notify()
    }
  }
}
