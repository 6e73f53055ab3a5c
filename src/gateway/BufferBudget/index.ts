interface BufferHolder {
  /** Frees the holder's buffer, because it is the largest one and the budget is exhausted. */
  evict: () => void
}

interface BufferBudgetOptions {
  /** Bytes that all holders together may buffer. */
  maxBytes: number
}

/**
 * @name BufferBudget
 * @category Gateway
 * @summary Bounds the memory that the buffered responses of all calls of a router take together.
 *
 * @description
 * A limit for each response is not enough: targets that fail send many responses without end at once. When the budget is
 * exhausted, the holder of the most bytes is evicted, so that the short responses of other targets go on.
 *
 * @param options - `maxBytes`.
 *
 * @example
 * const budget = new BufferBudget({ maxBytes: 64 * 1024 * 1024 })
 * budget.set(attempt, 800)
 * budget.release(attempt)
 */
export class BufferBudget {
  readonly #maxBytes: number
  readonly #bytesByHolder = new Map<BufferHolder, number>()
  #totalBytes = 0
  #evictions = 0

  constructor ({ maxBytes }: BufferBudgetOptions) {
    this.#maxBytes = maxBytes
  }

  get totalBytes (): number {
    return this.#totalBytes
  }

  /** How many holders were evicted. */
  get evictions (): number {
    return this.#evictions
  }

  /** Sets how many bytes a holder buffers. The holder may be evicted by this call. */
  set (holder: BufferHolder, bytes: number): void {
    this.#totalBytes += bytes - (this.#bytesByHolder.get(holder) ?? 0)
    this.#bytesByHolder.set(holder, bytes)
    while (this.#totalBytes > this.#maxBytes) this.#evictLargest()
  }

  /** Forgets a holder whose buffer is free. */
  release (holder: BufferHolder): void {
    this.#totalBytes -= this.#bytesByHolder.get(holder) ?? 0
    this.#bytesByHolder.delete(holder)
  }

  #evictLargest (): void {
    let largest: BufferHolder | undefined
    let largestBytes = 0
    for (const [holder, bytes] of this.#bytesByHolder) {
      if (bytes <= largestBytes) continue
      largest = holder
      largestBytes = bytes
    }
    if (!largest) return
    this.release(largest)
    this.#evictions++
    largest.evict()
  }
}
