import { request } from 'undici'
import { z } from 'zod'

interface HealthWatcherOptions {
  /** The targets to ask, at each round. */
  listTargets: () => ReadonlyArray<{ name: string, url: string }>
}

const POLL_EVERY_MS = 1_000
const REQUEST_TIMEOUT_MS = 1_000
const Health = z.object({ status: z.string() })

/**
 * @name HealthWatcher
 * @category Target
 * @summary Asks targets by `GET /health` whether they drain.
 *
 * @description
 * A target is closed while its last answer says `{"status":"draining"}`. A failed request changes nothing: requests
 * find out by themselves whether a target is alive, and the circuit breaker acts on that.
 *
 * @param options - Targets to ask.
 *
 * @example
 * const health = new HealthWatcher({ listTargets: () => view.listAllTargets() })
 * health.start()
 * health.isClosed('runner-1')
 * health.stop()
 */
export class HealthWatcher {
  readonly #options: HealthWatcherOptions
  #draining = new Set<string>()
  #timer?: NodeJS.Timeout
  #isRunning = false

  constructor (options: HealthWatcherOptions) {
    this.#options = options
  }

  isClosed (target: string): boolean {
    return this.#draining.has(target)
  }

  start (): void {
    this.#isRunning = true
    void this.#runRound()
  }

  stop (): void {
    this.#isRunning = false
    clearTimeout(this.#timer)
  }

  async #runRound (): Promise<void> {
    const startedAtMs = performance.now()
    const targets = this.#options.listTargets()
    const before = this.#draining
    const states = await Promise.all(targets.map(async ({ name, url }) => await fetchIsDraining(url) ?? before.has(name)))
    this.#draining = new Set(targets.filter((_, index) => states[index]).map(({ name }) => name))
    const delayMs = Math.max(0, startedAtMs + POLL_EVERY_MS - performance.now())
    if (this.#isRunning) this.#timer = setTimeout(() => this.#runRound(), delayMs)
  }
}

/** Undefined if the target gave no usable answer. */
async function fetchIsDraining (url: string): Promise<boolean | undefined> {
  try {
    const response = await request(new URL('/health', url), { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
    return Health.parse(await response.body.json()).status === 'draining'
  } catch {
    return undefined
  }
}
