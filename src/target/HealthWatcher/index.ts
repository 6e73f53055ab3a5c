import { request } from 'undici'
import { z } from 'zod'
import { readResponseText } from '../readResponseText'

interface HealthWatcherOptions {
  /** Targets to poll; called at the start of each round. */
  listTargets: () => ReadonlyArray<{ name: string, url: string }>
}

const POLL_INTERVAL_MS = 1_000
const REQUEST_TIMEOUT_MS = 1_000
const MAX_RESPONSE_BYTES = 64 * 1024
const HealthResponse = z.object({ status: z.string() })

/**
 * @name HealthWatcher
 * @category Target
 * @summary Polls `GET /health` of the targets to find those that are draining.
 *
 * @description
 * A target is draining while its last valid response has `{"status":"draining"}`. A failed poll keeps the previous
 * state, because failing targets are handled by the circuit breaker, according to the requests sent to them.
 *
 * @param options - Targets to poll.
 *
 * @example
 * const health = new HealthWatcher({ listTargets: () => view.listAllTargets() })
 * health.start()
 * health.isDraining('runner-1')
 * health.stop()
 */
export class HealthWatcher {
  readonly #options: HealthWatcherOptions
  #drainingTargets = new Set<string>()
  #timer?: NodeJS.Timeout
  #isRunning = false

  constructor (options: HealthWatcherOptions) {
    this.#options = options
  }

  isDraining (target: string): boolean {
    return this.#drainingTargets.has(target)
  }

  start (): void {
    this.#isRunning = true
    void this.#runPollRound()
  }

  stop (): void {
    this.#isRunning = false
    clearTimeout(this.#timer)
  }

  async #runPollRound (): Promise<void> {
    const startedAtMs = performance.now()
    const targets = this.#options.listTargets()
    const previouslyDraining = this.#drainingTargets
    const drainStates = await Promise.all(targets.map(async ({ name, url }) => await fetchIsDraining(url) ?? previouslyDraining.has(name)))
    this.#drainingTargets = new Set(targets.filter((_, index) => drainStates[index]).map(({ name }) => name))
    const delayMs = Math.max(0, startedAtMs + POLL_INTERVAL_MS - performance.now())
    if (this.#isRunning) this.#timer = setTimeout(() => this.#runPollRound(), delayMs)
  }
}

/** Undefined if the target sent no valid response within the time-out. */
async function fetchIsDraining (url: string): Promise<boolean | undefined> {
  try {
    const response = await request(new URL('/health', url), { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
    const text = await readResponseText(response.body, { maxBytes: MAX_RESPONSE_BYTES })
    return HealthResponse.parse(JSON.parse(text)).status === 'draining'
  } catch {
    return undefined
  }
}
