import type { Link } from '../../../../../link/Link'

interface Router {
  /** Prepended to the ids of the router's calls, which makes them unique among all routers. */
  idPrefix: string
  /** Monotonic time of the router's last load report, or of its first message. */
  heardAtMs: number
  /** Requests at engines in the newest load report. */
  reported: number
  /** Ids, without the prefix, of the router's requests that wait or run. */
  requests: Set<string>
}

interface ObservedReport {
  /** Ids of all requests of the router that wait or run; undefined if the router does not tell. */
  placements: readonly string[] | undefined
  /** Requests that the router runs at engines. */
  reported: number
}

const CHECK_INTERVAL_MS = 250
/**
 * Routers report their load four times as often. The calls of a router that has sent no report for this time are removed,
 * because they can't be tracked.
 */
const ROUTER_TIMEOUT_MS = 1_000
const NO_REQUESTS: ReadonlySet<string> = new Set()

/**
 * The routers with a link to the scheduler, and their requests. The requests of a router are removed when its link closes,
 * when it falls silent, and when its load report does not name them.
 */
export class RouterTable {
  readonly #routers = new Map<Link, Router>()
  readonly #onRemoved: (globalId: string) => void
  readonly #timer: NodeJS.Timeout
  #nextNumber = 1
  #checkedAtMs = performance.now()

  constructor ({ onRemoved }: { onRemoved: (globalId: string) => void }) {
    this.#onRemoved = onRemoved
    this.#timer = setInterval(() => this.#removeRequestsOfSilentRouters(), CHECK_INTERVAL_MS)
  }

  get size (): number {
    return this.#routers.size
  }

  get (link: Link): Router {
    const known = this.#routers.get(link)
    if (known) return known
    const router = { idPrefix: `${this.#nextNumber++}:`, heardAtMs: performance.now(), reported: 0, requests: new Set<string>() }
    this.#routers.set(link, router)
    link.onClose(() => {
      this.#routers.delete(link)
      this.#removeRequests(router, NO_REQUESTS)
    })
    return router
  }

  list (): Array<[link: Link, router: Router]> {
    return [...this.#routers]
  }

  /** Applies a load report. Returns the ids that it names and the scheduler does not know. */
  observe (link: Link, { placements, reported }: ObservedReport): string[] {
    const router = this.get(link)
    router.heardAtMs = performance.now()
    router.reported = reported
    if (!placements) return []
    this.#removeRequests(router, new Set(placements))
    return placements.filter(id => !router.requests.has(id))
  }

  /** Forgets all requests, because the scheduler has discarded its state. */
  clearRequests (): void {
    for (const { requests } of this.#routers.values()) requests.clear()
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #removeRequestsOfSilentRouters (): void {
    const nowMs = performance.now()
    // After a stall of this process its timers run before it reads the reports that have arrived meanwhile.
    const isLate = nowMs - this.#checkedAtMs > 2 * CHECK_INTERVAL_MS
    this.#checkedAtMs = nowMs
    if (isLate) return
    for (const router of this.#routers.values()) if (nowMs - router.heardAtMs > ROUTER_TIMEOUT_MS) this.#removeRequests(router, NO_REQUESTS)
  }

  #removeRequests ({ idPrefix, requests }: Router, keptIds: ReadonlySet<string>): void {
    for (const id of requests) {
      if (keptIds.has(id)) continue
      requests.delete(id)
      this.#onRemoved(idPrefix + id)
    }
  }
}
