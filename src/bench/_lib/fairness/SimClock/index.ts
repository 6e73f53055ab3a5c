import { IndexedHeap } from '../../../../schedule/IndexedHeap'

/** Discrete-event simulation clock. Events at the same time run in the order in which they were scheduled. */
export class SimClock {
  readonly #events = new IndexedHeap<{ run: () => void }>()
  #nowMs = 0

  get nowMs (): number {
    return this.#nowMs
  }

  schedule (delayMs: number, run: () => void): void {
    this.#events.set({ run }, this.#nowMs + delayMs)
  }

  run (untilMs: number): void {
    for (let event = this.#events.peek(); event; event = this.#events.peek()) {
      const atMs = this.#events.getPriority(event)!
      if (atMs > untilMs) break
      this.#events.take()
      this.#nowMs = atMs
      event.run()
    }
    this.#nowMs = untilMs
  }
}
