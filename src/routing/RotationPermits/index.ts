import { PERMIT_TTL_MS } from '../PERMIT_TTL_MS'

/**
 * Share of an availability zone's routers that may be out of rotation because of overload. The rest can carry their load,
 * and enough stay when others stop or restart at the same time: load balancers commonly ignore readiness once fewer than
 * half of the routers are ready.
 */
const MAX_LEAVING_SHARE = 0.25
/** A router without a permit that has not reported for this time counts as stopped. */
const REPORT_TTL_MS = 1_500
/** A silent router keeps its permit here for longer than it uses it, or another router could leave besides it. */
const HOLDER_TTL_MS = PERMIT_TTL_MS + 1_000

interface RouterState {
  zone: string
  hasPermit: boolean
  reportedAtMs: number
}

interface OverloadReport {
  router: string
  zone: string
  isOverloaded: boolean
}

/**
 * @name RotationPermits
 * @category Routing
 * @summary Limits how many routers of an availability zone may leave the rotation because they are overloaded.
 *
 * @description
 * A router that is overloaded while others are idle should leave the rotation of the load balancer. If all routers are
 * overloaded, as right after a restart, their callers would find no router at all. A permit ends when its router is no
 * longer overloaded or stops reporting; an overloaded router reports only once in some seconds. Soft state: a new leader
 * grants permits again as routers report.
 *
 * @example
 * const permits = new RotationPermits()
 * permits.observe({ router: 'edge-2', zone: 'a', isOverloaded: false }, 0) // false
 * permits.observe({ router: 'edge-1', zone: 'a', isOverloaded: true }, 10) // true
 */
export class RotationPermits {
  readonly #routers = new Map<string, RouterState>()

  /** Observes a report of a router, and returns whether that router may leave the rotation. */
  observe ({ router, zone, isOverloaded }: OverloadReport, nowMs: number): boolean {
    this.#removeSilentRouters(nowMs)
    const hadPermit = this.#routers.get(router)?.hasPermit ?? false
    const state = { zone, hasPermit: false, reportedAtMs: nowMs }
    this.#routers.set(router, state)
    state.hasPermit = isOverloaded && (hadPermit || this.#isPermitFree(zone))
    return state.hasPermit
  }

  #removeSilentRouters (nowMs: number): void {
    for (const [router, { hasPermit, reportedAtMs }] of this.#routers) {
      const ttlMs = hasPermit ? HOLDER_TTL_MS : REPORT_TTL_MS
      if (nowMs - reportedAtMs > ttlMs) this.#routers.delete(router)
    }
  }

  #isPermitFree (zone: string): boolean {
    const routers = [...this.#routers.values()].filter(state => state.zone === zone)
    const leaving = routers.filter(({ hasPermit }) => hasPermit).length
    return leaving < computeLimit(routers.length)
  }
}

/** The only router of a zone always stays; in a small zone one router may leave. */
function computeLimit (routers: number): number {
  return routers < 2 ? 0 : Math.max(1, Math.floor(routers * MAX_LEAVING_SHARE))
}
