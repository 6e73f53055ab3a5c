import { Agent, request } from 'undici'
import { z } from 'zod'
import { readResponseText } from '../../../target/readResponseText'
import type { ZoneScheduler } from '../../../schedule/ZoneScheduler'

const DEFAULT_INTERVAL_MS = 500
const REQUEST_TIMEOUT_MS = 1_000
const MAX_RESPONSE_BYTES = 1024 * 1024
const NOT_FOUND = 404
const OK = 200

const EngineLoad = z.object({ running: z.number().nonnegative(), waiting: z.number().nonnegative() })
const CacheEvents = z.object({ events: z.array(z.object({ seq: z.number().int().positive(), kind: z.enum(['stored', 'evicted']), prefixHash: z.number() })) })

interface PolledTarget {
  name: string
  service: string
  url: string
}

interface TargetPollerOptions {
  listTargets: () => PolledTarget[]
  /** The zone scheduler; undefined unless this router is elected. */
  getScheduler: () => ZoneScheduler | undefined
  intervalMs?: number
}

/**
 * Polls the load and the cache events of the zone's targets while this router is the scheduler. A target that responds
 * with 404 does not have the endpoint: it keeps its configured slots, and the URL is not polled again.
 */
export class TargetPoller {
  readonly #options: TargetPollerOptions
  readonly #agent = new Agent({ connect: { timeout: REQUEST_TIMEOUT_MS }, headersTimeout: REQUEST_TIMEOUT_MS, bodyTimeout: REQUEST_TIMEOUT_MS })
  readonly #unsupportedUrls = new Set<string>()
  #timer?: NodeJS.Timeout
  #isPolling = false

  constructor (options: TargetPollerOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = setInterval(() => { void this.#tick() }, this.#options.intervalMs ?? DEFAULT_INTERVAL_MS)
  }

  async stop (): Promise<void> {
    clearInterval(this.#timer)
    await this.#agent.destroy()
  }

  /** Skips a round while the one before it is still running. */
  async #tick (): Promise<void> {
    const scheduler = this.#options.getScheduler()
    if (!scheduler || this.#isPolling) return
    this.#isPolling = true
    await Promise.all(this.#options.listTargets().flatMap(target => [this.#fetchLoad(scheduler, target), this.#fetchEvents(scheduler, target)]))
    this.#isPolling = false
  }

  async #fetchLoad (scheduler: ZoneScheduler, { name, service, url }: PolledTarget): Promise<void> {
    const load = EngineLoad.safeParse(await this.#fetchJson(`${url}/load`))
    if (!load.success) return
    const lagMs = 2 * (this.#options.intervalMs ?? DEFAULT_INTERVAL_MS)
    scheduler.observeLoad(performance.now(), service, name, { ...load.data, lagMs })
  }

  async #fetchEvents (scheduler: ZoneScheduler, { name, service, url }: PolledTarget): Promise<void> {
    const { prefixes } = scheduler.getPool(service).targets
    const reply = CacheEvents.safeParse(await this.#fetchJson(`${url}/cache-events`, `?after=${prefixes.getLastSeq(name)}`))
    if (reply.success) prefixes.apply(name, reply.data.events)
  }

  async #fetchJson (url: string, query = ''): Promise<unknown> {
    if (this.#unsupportedUrls.has(url)) return undefined
    try {
      const { statusCode, body } = await request(url + query, { dispatcher: this.#agent })
      const text = await readResponseText(body, { maxBytes: MAX_RESPONSE_BYTES })
      if (statusCode === NOT_FOUND) this.#unsupportedUrls.add(url)
      return statusCode === OK ? JSON.parse(text) : undefined
    } catch {
      // Load and cache events only improve target selection; requests show whether the target is available.
      return undefined
    }
  }
}
