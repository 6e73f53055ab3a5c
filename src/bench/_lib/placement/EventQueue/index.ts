interface Event {
  atMs: number
  order: number
  run: () => void
}

/** Simulated time: runs functions in the order of their times. */
export class EventQueue {
  readonly #heap: Event[] = []
  #order = 0
  nowMs = 0

  schedule (delayMs: number, run: () => void): void {
    this.#heap.push({ atMs: this.nowMs + Math.max(0, delayMs), order: this.#order++, run })
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
    return first.atMs < second.atMs || (first.atMs === second.atMs && first.order < second.order)
  }

  #swap (a: number, b: number): void {
    [this.#heap[a], this.#heap[b]] = [this.#heap[b], this.#heap[a]]
  }
}
