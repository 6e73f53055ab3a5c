interface Event {
  atMs: number
  /** Breaks ties between events at the same time. */
  sequence: number
  run: () => void
}

/** Discrete-event simulation clock. Events at the same time run in the order in which they were scheduled. */
export class EventQueue {
  readonly #heap: Event[] = []
  #nextSequence = 0
  nowMs = 0

  schedule (delayMs: number, run: () => void): void {
    this.#heap.push({ atMs: this.nowMs + Math.max(0, delayMs), sequence: this.#nextSequence++, run })
    this.#moveUp(this.#heap.length - 1)
  }

  runUntil (endMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0].atMs <= endMs) {
      const event = this.#take()
      this.nowMs = event.atMs
      event.run()
    }
    this.nowMs = endMs
  }

  #take (): Event {
    const [first] = this.#heap
    const last = this.#heap.pop()!
    if (this.#heap.length > 0) {
      this.#heap[0] = last
      this.#moveDown(0)
    }
    return first
  }

  #moveUp (index: number): void {
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.#isBefore(index, parent)) return
      this.#swap(index, parent)
      index = parent
    }
  }

  #moveDown (index: number): void {
    for (;;) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.#heap.length && this.#isBefore(child, least)) least = child
      }
      if (least === index) return
      this.#swap(index, least)
      index = least
    }
  }

  #isBefore (a: number, b: number): boolean {
    const [first, second] = [this.#heap[a], this.#heap[b]]
    return first.atMs < second.atMs || (first.atMs === second.atMs && first.sequence < second.sequence)
  }

  #swap (a: number, b: number): void {
    [this.#heap[a], this.#heap[b]] = [this.#heap[b], this.#heap[a]]
  }
}
