import { AppError } from '../../../src/contract/AppError'
import { LoadReport } from '../../../src/contract/LoadReport'
import type { LoadSummary } from '../../../src/contract/LoadSummary'
import type { PlacementProgress } from '../../../src/contract/PlacementProgress'
import type { TargetEntry } from '../../../src/contract/TargetEntry'
import { PlacementClient } from '../../../src/gateway/PlacementClient'
import { PlacementService } from '../../../src/instance/_lib/PlacementService'
import type { MessageHandler } from '../../../src/link/MessageHandler'
import { TargetLoads } from '../../../src/routing/TargetLoads'
import { MemoryLink } from '../MemoryLink'

interface Router {
  /** Links to the replicas in force. */
  links: MemoryLink[]
  placements: PlacementClient
  /** Replica that the router takes for the leader. */
  leader: number | undefined
  /** Whether the router sends no load reports, as while its event loop is stalled. */
  isSilent: boolean
  /** Places a prompt; resolves with whether it runs. */
  start: (id: string, overrides?: { account?: string, promptTokens?: number }) => Promise<boolean>
  /** Reports an event of a call. Every event except `read` ends the call. */
  record: (id: string, event: PlacementProgress[number][1]) => void
  /** Opens another link to a replica. The old one is closed, unless it stays open unnoticed as after a partition. */
  reconnect: (replica: number, options?: { isClosed?: boolean }) => void
}

const REPORT_INTERVAL_MS = 250
const noLogger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

/**
 * Routers and replicas of the registry that are connected in memory, for tests with fake timers: each router has a
 * PlacementClient and reports its load, each replica has a PlacementService, and one replica leads.
 */
export class PlacementNetwork {
  readonly services: readonly PlacementService[]
  readonly routers: readonly Router[]
  leader: number | undefined = 0
  readonly #loads = new Map<Router, TargetLoads>()
  #running = 0
  #term = 1
  readonly #timer: NodeJS.Timeout

  constructor ({ replicas, routers, targets }: { replicas: number, routers: number, targets: readonly TargetEntry[] }) {
    this.services = Array.from({ length: replicas }, (_, i) => new PlacementService({ isLeader: () => this.leader === i, getMemoryTokens: () => 100_000, getListAgeMs: () => 0, logger: noLogger }))
    for (const service of this.services) service.setTargets(targets)
    this.routers = Array.from({ length: routers }, (_, i) => this.#createRouter(`edge-${i}`, { routers, targets }))
    this.#timer = setInterval(() => this.#reportLoads(), REPORT_INTERVAL_MS)
  }

  /** Number of calls that the routers run. */
  get running (): number {
    return this.#running
  }

  /** Elects a replica, or none; the others discard their state. Routers learn of it if `isAnnounced`. */
  setLeader (leader: number | undefined, { isAnnounced = true } = {}): void {
    this.leader = leader
    this.#term++
    this.services.forEach((service, i) => { if (i !== leader) service.reset() })
    if (isAnnounced) for (const router of this.routers) router.leader = leader
  }

  close (): void {
    clearInterval(this.#timer)
    for (const service of this.services) service.close()
    for (const { placements } of this.routers) placements.close()
  }

  #createLink (router: string, replica: number): MemoryLink {
    const handlers = new Map<string, MessageHandler>([
      ...this.services[replica].handlers,
      ['reportLoad', (body, link) => {
        if (this.leader !== replica) throw new AppError('not-leader', 'This replica is not the leader.')
        const unknownPlacements = this.services[replica].observeRouter(link, LoadReport.parse(body))
        return { routers: this.routers.length, targets: [], mayLeaveRotation: false, suspects: [], term: this.#term, shares: this.services[replica].getShares(), unknownPlacements } satisfies LoadSummary
      }]
    ])
    return new MemoryLink(handlers, { router, replica: `c${replica}` })
  }

  #createRouter (name: string, { routers, targets }: { routers: number, targets: readonly TargetEntry[] }): Router {
    const loads = new TargetLoads()
    const releases = new Map<string, () => void>()
    const links = this.services.map((_, replica) => this.#createLink(name, replica))
    const placements = new PlacementClient({ getLink: () => router.leader === undefined ? undefined : router.links[router.leader].near, getMemoryTokens: () => 100_000, getLoadShare: () => 1 / routers, logger: noLogger })
    placements.setTargets(targets)
    const router: Router = {
      links,
      placements,
      leader: 0,
      isSilent: false,
      start: async (id, { account = 'a', promptTokens = 100 } = {}) => {
        const { verdict } = await placements.request({ id, callId: `${name}-${id}`, account, service: 's', zone: 'z', parts: [{ id: `${name}-${id}`, tokens: promptTokens }], promptTokens, outputTokens: 10, objectiveMs: 600, excluded: [] })
        if (verdict.type !== 'place') return false
        this.#running++
        releases.set(id, loads.add(verdict.target, { tokens: promptTokens }))
        return true
      },
      record: (id, event) => {
        if (event !== 'read') {
          this.#running--
          releases.get(id)!()
          releases.delete(id)
        }
        placements.record(id, event)
      },
      reconnect: (replica, { isClosed = true } = {}) => {
        if (isClosed) links[replica].close()
        links[replica] = this.#createLink(name, replica)
      }
    }
    this.#loads.set(router, loads)
    return router
  }

  #reportLoads (): void {
    for (const router of this.routers) if (!router.isSilent) this.#reportLoad(router).catch(() => {})
  }

  async #reportLoad (router: Router): Promise<void> {
    if (router.leader === undefined) return
    const { near } = router.links[router.leader]
    const summary = await near.request('reportLoad', { targets: this.#loads.get(router)!.createReport(), isOverloaded: false, placements: router.placements.listRequests() }, { timeoutMs: 1_000 }) as LoadSummary
    router.placements.applySummary(summary, near)
  }
}
