interface BatchedStream {
  flush: () => void
}

interface WriteBatcherOptions {
  /** Whether the event loop of this process has little time left. */
  isBusy: () => boolean
}

/** Short compared with the pauses between two events that callers notice. */
const DELAY_MS = 50

/**
 * @name WriteBatcher
 * @category Gateway
 * @summary Delays the events of running streams for a moment while the event loop is busy, so that one write takes several.
 *
 * @description
 * Most of the processor time of a write does not depend on the number of bytes. All streams with delayed events are
 * flushed together by one timer.
 *
 * @param options - `isBusy`: whether events are delayed at all.
 *
 * @example
 * if (!batcher.tryDelay(stream)) stream.flush()
 */
export class WriteBatcher {
  readonly #isBusy: () => boolean
  readonly #streams = new Set<BatchedStream>()
  #timer: NodeJS.Timeout | undefined

  constructor ({ isBusy }: WriteBatcherOptions) {
    this.#isBusy = isBusy
  }

  /** Returns whether the events of the stream may wait; its `flush` is then called after a moment. */
  tryDelay (stream: BatchedStream): boolean {
    if (this.#streams.has(stream)) return true
    if (!this.#isBusy()) return false
    this.#streams.add(stream)
    this.#timer ??= setTimeout(() => this.#flushAll(), DELAY_MS)
    return true
  }

  /** Forgets a stream that has been flushed or has ended. */
  remove (stream: BatchedStream): void {
    this.#streams.delete(stream)
  }

  close (): void {
    this.#flushAll()
  }

  #flushAll (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    const streams = [...this.#streams]
    this.#streams.clear()
    for (const stream of streams) stream.flush()
  }
}
