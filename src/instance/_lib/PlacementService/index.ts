import { z } from 'zod'
import { AppError } from '../../../contract/AppError'
import { PlacementProgress } from '../../../contract/PlacementProgress'
import type { PlacementVerdict } from '../../../contract/PlacementVerdict'
import { PlacementRequest } from '../../../contract/PlacementRequest'
import { RunningPlacement } from '../../../contract/RunningPlacement'
import type { TargetEntry } from '../../../contract/TargetEntry'
import type { Link } from '../../../link/Link'
import type { MessageHandler } from '../../../link/MessageHandler'
import { PlacementQueue } from '../../../routing/PlacementQueue'
import { PromptScheduler } from '../../../routing/PromptScheduler'
import type { PartLogger } from '../../../telemetry/PartLogger'

interface PlacementServiceOptions {
  isLeader: () => boolean
  getMemoryTokens: (service: string) => number | undefined
  /** Age of the list of targets in milliseconds. */
  getListAgeMs: () => number
  logger: PartLogger
}

interface RouterState {
  /** Makes the ids of the calls of different routers unique. */
  prefix: string
  heardMs: number
}

const Adopted = z.array(RunningPlacement)
const CHECK_INTERVAL_MS = 250
/** A router reports its load four times as often. What a silent one has under way can't be followed. */
const ROUTER_SILENT_MS = 1_000

/**
 * The scheduler of the fleet, at the leader of the registry. Its state is soft: routers tell a new leader what they
 * have under way, and a router whose link closes has nothing under way any more.
 */
export class PlacementService {
  readonly #options: PlacementServiceOptions
  readonly #routers = new Map<Link, RouterState>()
  readonly #timer: NodeJS.Timeout
  #scheduler!: PromptScheduler
  #queue!: PlacementQueue
  readonly #verdicts = { place: 0, refuse: 0, none: 0 }
  #targets: readonly TargetEntry[] = []
  #nextPrefix = 1

  constructor (options: PlacementServiceOptions) {
    this.#options = options
    this.#timer = setInterval(() => this.#removeSilent(), CHECK_INTERVAL_MS)
    this.reset()
  }

  get handlers (): Map<string, MessageHandler> {
    return new Map<string, MessageHandler>([
      ['requestPlacement', (body, link) => this.#place(PlacementRequest.parse(body), link)],
      ['reportProgress', (body, link) => {
        const { prefix } = this.#getRouter(link)
        for (const [id, event] of PlacementProgress.parse(body)) this.#queue.record(prefix + id, event)
      }],
      ['adoptPlacements', (body, link) => {
        for (const placement of Adopted.parse(body)) {
          this.#scheduler.accept({ ...placement, request: this.#createGlobal(placement.request, link) }, performance.now())
        }
      }]
    ])
  }

  getCounts (): { waiting: number, running: number, verdicts: Readonly<Record<PlacementVerdict['type'], number>> } {
    const { waitingCount, runningCount } = this.#scheduler
    return { waiting: waitingCount, running: runningCount, verdicts: this.#verdicts }
  }

  setTargets (entries: readonly TargetEntry[]): void {
    this.#targets = entries
    this.#scheduler.setTargets(entries)
  }

  /** Forgets everything, when another replica leads. */
  reset (): void {
    this.#queue?.close()
    const { getMemoryTokens } = this.#options
    this.#scheduler = new PromptScheduler({ getMemoryTokens, getLoadShare: () => 1, random: Math.random, startedMs: performance.now() })
    this.#scheduler.setTargets(this.#targets)
    this.#queue = new PlacementQueue(this.#scheduler)
  }

  /** Notes that a router is alive. */
  observeRouter (link: Link): void {
    this.#getRouter(link).heardMs = performance.now()
  }

  close (): void {
    clearInterval(this.#timer)
    this.#queue.close()
  }

  async #place (request: PlacementRequest, link: Link): Promise<PlacementVerdict> {
    const startedAtMs = performance.now()
    const verdict = await this.#queue.request(this.#createGlobal(request, link))
    const { callId: requestId, account, objectiveMs } = request
    this.#verdicts[verdict.type]++
    const { waiting, running } = this.getCounts()
    this.#options.logger.info('A prompt was decided on.', { requestId, router: link.peer.instance, account, objectiveMs: Math.round(objectiveMs), ...convertTimes(verdict), queuedMs: Math.round(performance.now() - startedAtMs), waiting, running, listAgeMs: Math.round(this.#options.getListAgeMs()) })
    return verdict
  }

  #createGlobal (request: PlacementRequest, link: Link): PlacementRequest {
    if (!this.#options.isLeader()) throw new AppError('not-leader', 'This replica does not place calls.')
    return { ...request, id: this.#getRouter(link).prefix + request.id }
  }

  #getRouter (link: Link): RouterState {
    const known = this.#routers.get(link)
    if (known) return known
    const router = { prefix: `${this.#nextPrefix++}:`, heardMs: performance.now() }
    this.#routers.set(link, router)
    link.onClose(() => {
      this.#routers.delete(link)
      this.#removeCalls(router.prefix)
    })
    return router
  }

  #removeSilent (): void {
    const sinceMs = performance.now() - ROUTER_SILENT_MS
    for (const { prefix, heardMs } of this.#routers.values()) if (heardMs < sinceMs) this.#removeCalls(prefix)
  }

  #removeCalls (prefix: string): void {
    for (const { request } of this.#scheduler.listRunning()) if (request.id.startsWith(prefix)) this.#queue.record(request.id, 'ended')
  }
}

function convertTimes (verdict: PlacementVerdict): object {
  return verdict.type === 'none' ? verdict : { ...verdict, waitMs: Math.round(verdict.waitMs), readMs: Math.round(verdict.readMs) }
}
