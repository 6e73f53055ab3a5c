import { OverloadDetector } from '../../../gateway/OverloadDetector'
import type { PartLogger } from '../../../telemetry/PartLogger'

const SAMPLE_INTERVAL_MS = 100

/** Watches the delay of the event loop from its start until it is closed. */
export class EventLoopMonitor {
  readonly #detector = new OverloadDetector()
  readonly #logger: PartLogger
  #timer: NodeJS.Timeout | undefined

  constructor (logger: PartLogger) {
    this.#logger = logger
  }

  get isOverloaded (): boolean {
    return this.#detector.isOverloaded
  }

  start (): void {
    const plannedMs = performance.now() + SAMPLE_INTERVAL_MS
    this.#timer = setTimeout(() => {
      this.#addSample(performance.now() - plannedMs)
      this.start()
    }, SAMPLE_INTERVAL_MS)
  }

  close (): void {
    clearTimeout(this.#timer)
  }

  #addSample (delayMs: number): void {
    if (!this.#detector.addDelay(delayMs, performance.now())) return
    if (this.#detector.isOverloaded) this.#logger.warn('The router is overloaded; it asks for no new connections.', { delayMs: Math.round(delayMs) })
    else this.#logger.info('The router has processor time again.')
  }
}
