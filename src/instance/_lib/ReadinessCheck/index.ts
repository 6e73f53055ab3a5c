import type { ComponentLogger } from '../../../telemetry/ComponentLogger'

interface ReadinessCheckOptions {
  /** Functions that report an obstacle to being ready, by the name of the obstacle. */
  obstacles: Readonly<Record<string, () => boolean>>
  logger: ComponentLogger
}

/** Answers the readiness checks of a router, and logs each change of the answer with its reasons. */
export class ReadinessCheck {
  readonly #options: ReadinessCheckOptions
  readonly #startedAtMs = performance.now()
  #lastReasons: string | undefined
  #firstReadyAtMs: number | undefined

  constructor (options: ReadinessCheckOptions) {
    this.#options = options
  }

  /** Milliseconds from the start of the router to its first positive answer; undefined before it. */
  get msToFirstReady (): number | undefined {
    return this.#firstReadyAtMs === undefined ? undefined : this.#firstReadyAtMs - this.#startedAtMs
  }

  /** Whether the router is ready now. */
  isReady (): boolean {
    const reasons = Object.entries(this.#options.obstacles).filter(([, isPresent]) => isPresent()).map(([name]) => name)
    if (reasons.length === 0) this.#firstReadyAtMs ??= performance.now()
    this.#logChange(reasons)
    return reasons.length === 0
  }

  #logChange (reasons: readonly string[]): void {
    const joined = reasons.join(',')
    if (joined === this.#lastReasons) return
    this.#lastReasons = joined
    const sinceStartMs = Math.round(performance.now() - this.#startedAtMs)
    if (reasons.length === 0) this.#options.logger.info('The router is ready.', { sinceStartMs })
    else this.#options.logger.warn('The router is not ready.', { reasons, sinceStartMs })
  }
}
