import type { PlacementProgress } from '../../contract/PlacementProgress'
import type { PlacementRequest } from '../../contract/PlacementRequest'
import { PlacementVerdict } from '../../contract/PlacementVerdict'
import type { TargetEntry } from '../../contract/TargetEntry'
import type { Link } from '../../link/Link'
import { PlacementQueue } from '../../routing/PlacementQueue'
import { PromptScheduler } from '../../routing/PromptScheduler'
import type { PartLogger } from '../../telemetry/PartLogger'

type Event = PlacementProgress[number][1]

interface PlacementClientOptions {
  /** Link to the scheduler of the fleet, undefined while none is known. */
  getLink: () => Link | undefined
  getMemoryTokens: (service: string) => number | undefined
  countRouters: () => number
  logger: PartLogger
}

/** The scheduler replies within its patience; a reply that takes longer will not come. */
const REPLY_TIMEOUT_MS = 320
/** After a missing reply the router decides by itself for this time. */
const AVOID_MS = 500

/**
 * @name PlacementClient
 * @category Gateway
 * @summary Has the scheduler of the fleet place prompts; decides by itself while that can't be reached.
 *
 * @description
 * A scheduler of its own follows all calls of this router, so that it can decide at any moment: it takes its own load
 * as an even share of the whole.
 *
 * @example
 * const { verdict } = await placements.request(request)
 * placements.record(request.id, 'ended')
 */
export class PlacementClient {
  readonly #options: PlacementClientOptions
  readonly #local: PromptScheduler
  readonly #queue: PlacementQueue
  /** Calls that the scheduler of the fleet knows, and its link. */
  readonly #placedBy = new Map<string, Link>()
  #progress: PlacementProgress = []
  #known: Link | undefined
  #avoidUntilMs = -Infinity

  constructor (options: PlacementClientOptions) {
    this.#options = options
    const { getMemoryTokens, countRouters } = options
    this.#local = new PromptScheduler({ getMemoryTokens, getLoadShare: () => 1 / countRouters(), random: Math.random, startedMs: performance.now() })
    this.#queue = new PlacementQueue(this.#local)
  }

  setTargets (entries: readonly TargetEntry[]): void {
    this.#local.setTargets(entries)
  }

  /** The verdict, and the instance that decided: `local` is this router. */
  async request (request: PlacementRequest): Promise<{ verdict: PlacementVerdict, scheduler: string }> {
    const link = this.#findLink()
    if (!link) return this.#requestHere(request)
    try {
      const verdict = PlacementVerdict.parse(await link.request('requestPlacement', request, { timeoutMs: REPLY_TIMEOUT_MS }))
      const decided = { verdict, scheduler: link.peer.instance }
      if (verdict.type !== 'place') return decided
      this.#placedBy.set(request.id, link)
      this.#local.accept({ request, target: verdict.target, readMs: verdict.readMs, isRead: false }, performance.now())
      return decided
    } catch (error) {
      this.#options.logger.warn('The scheduler did not reply; this router decides by itself.', { scheduler: link.peer.instance, requestId: request.id, reason: String(error) })
      this.#avoidUntilMs = performance.now() + AVOID_MS
      this.#known = undefined
      // The verdict may still be on its way; the scheduler must not count the call as running there.
      link.send('reportProgress', [[request.id, 'ended']] satisfies PlacementProgress)
      return await this.#requestHere(request)
    }
  }

  record (id: string, event: Event): void {
    this.#queue.record(id, event)
    const link = this.#placedBy.get(id)
    if (event !== 'read') this.#placedBy.delete(id)
    if (!link || link.isClosed) return
    if (this.#progress.length === 0) setImmediate(() => this.#sendProgress())
    this.#progress.push([id, event])
  }

  close (): void {
    this.#queue.close()
  }

  async #requestHere (request: PlacementRequest): Promise<{ verdict: PlacementVerdict, scheduler: string }> {
    return { verdict: await this.#queue.request(request), scheduler: 'local' }
  }

  #findLink (): Link | undefined {
    if (performance.now() < this.#avoidUntilMs) return undefined
    const link = this.#options.getLink()
    if (link && link !== this.#known) this.#registerAt(link)
    return link
  }

  /** Tells a new scheduler what is under way. */
  #registerAt (link: Link): void {
    this.#known = link
    const running = this.#local.listRunning()
    link.send('adoptPlacements', running)
    for (const { request } of running) this.#placedBy.set(request.id, link)
    this.#options.logger.info('A scheduler was found.', { scheduler: link.peer.instance, running: running.length })
  }

  #sendProgress (): void {
    const byLink = new Map<Link, PlacementProgress>()
    for (const entry of this.#progress) {
      const link = this.#placedBy.get(entry[0]) ?? this.#known
      if (link) byLink.set(link, [...byLink.get(link) ?? [], entry])
    }
    this.#progress = []
    for (const [link, progress] of byLink) link.send('reportProgress', progress)
  }
}
