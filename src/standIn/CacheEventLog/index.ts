const MAX_EVENTS = 10_000

interface CacheEvent {
  seq: number
  kind: 'stored' | 'evicted'
  prefixHash: number
}

interface CacheEventLogOptions {
  /** Called for each operation, because the faults may change while the engine runs. */
  getFaults: () => {
    /** Milliseconds after which an event is listed. */
    lagMs: number
    /** Probability that an event is omitted. Its sequence number is not reused, so readers see a gap. */
    gapRate: number
  }
  random: () => number
}

/**
 * @name CacheEventLog
 * @category Stand-in
 * @summary Log of an engine's prefix cache events, published with a delay and with gaps.
 *
 * @param options - Lag, gap rate and random number generator.
 *
 * @example
 * const log = new CacheEventLog({ getFaults: () => ({ lagMs: 0, gapRate: 0 }), random: Math.random })
 * log.append('stored', 7, 1000)
 * log.list(0, 1000) // [{ seq: 1, kind: 'stored', prefixHash: 7 }]
 */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions
  readonly #events: Array<CacheEvent & { atMs: number }> = []
  #lastSeq = 0

  constructor (options: CacheEventLogOptions) {
    this.#options = options
  }

  append (kind: CacheEvent['kind'], prefixHash: number, atMs: number): void {
    this.#lastSeq++
    if (this.#options.random() < this.#options.getFaults().gapRate) return
    this.#events.push({ seq: this.#lastSeq, kind, prefixHash, atMs })
    if (this.#events.length > MAX_EVENTS) this.#events.shift()
  }

  list (afterSeq: number, nowMs: number): CacheEvent[] {
    const { lagMs } = this.#options.getFaults()
    return this.#events
      .filter(({ seq, atMs }) => seq > afterSeq && atMs <= nowMs - lagMs)
      .map(({ seq, kind, prefixHash }) => ({ seq, kind, prefixHash }))
  }
}
