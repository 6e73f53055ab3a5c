import type { LoadSummary } from '../../contract/LoadSummary'
import type { PlacementProgress } from '../../contract/PlacementProgress'
import type { PlacementRequest } from '../../contract/PlacementRequest'
import { PlacementVerdict } from '../../contract/PlacementVerdict'
import type { TargetEntry } from '../../contract/TargetEntry'
import type { Link } from '../../link/Link'
import { CrashMonitor } from '../../routing/CrashMonitor'
import { PlacementQueue } from '../../routing/PlacementQueue'
import { PromptQuarantine } from '../../routing/PromptQuarantine'
import { PromptScheduler } from '../../routing/PromptScheduler'
import type { ComponentLogger } from '../../telemetry/ComponentLogger'
import { PlacementReporter } from '../PlacementReporter'
import { ShareCopy } from '../ShareCopy'
import { SuspectCopy } from '../SuspectCopy'

type ProgressEvent = PlacementProgress[number][1]

interface PlacementClientOptions {
  /** Link to the scheduler of the fleet; undefined while none is known. */
  getLink: () => Link | undefined
  getMemoryTokens: (service: string) => number | undefined
  /** Part of the fleet's load that this router may place while it decides by itself. */
  getLoadShare: () => number
  logger: ComponentLogger
}

/** The scheduler replies within its maximum waiting time; a reply that takes longer is treated as lost. */
const REPLY_TIMEOUT_MS = 320
/** After a reply has timed out, the router places prompts itself for this time. */
const FALLBACK_MS = 500
/** Routers that place prompts themselves probe a blocked part this much later, because each of them would probe it. */
const PROBE_DELAY_MS = 10_000
/**
 * Longer than a probe. A shorter block may end at any moment with the answer to a probe, which the scheduler knows before
 * its copy at this router.
 */
const MIN_CERTAIN_BLOCK_MS = 3_500

/**
 * @name PlacementClient
 * @category Gateway
 * @summary Requests the placement of prompts from the scheduler of the fleet, and falls back to a local scheduler.
 *
 * @description
 * The local scheduler tracks all calls of this router and can take over at any moment while the scheduler of the fleet
 * can't be reached, within this router's share of the load of the fleet. Prompts with a part
 * that is blocked for long are refused without asking the scheduler.
 *
 * @example
 * const { verdict } = await placements.request(request)
 * placements.record(request.id, 'ended')
 */
export class PlacementClient {
  /** Prompt parts under which targets crashed, as far as this router knows. */
  readonly quarantine = new PromptQuarantine({ probeDelayMs: PROBE_DELAY_MS })
  readonly #options: PlacementClientOptions
  readonly #crashMonitor: CrashMonitor
  readonly #suspectCopy = new SuspectCopy(this.quarantine)
  readonly #localScheduler: PromptScheduler
  readonly #localQueue: PlacementQueue
  readonly #shareCopy: ShareCopy
  readonly #reporter = new PlacementReporter({ listRunning: () => this.#localScheduler.listRunning() })
  #registeredLink: Link | undefined
  #fallbackUntilMs = -Infinity
  #blockedCalls = 0

  constructor (options: PlacementClientOptions) {
    this.#options = options
    const { getMemoryTokens, getLoadShare, logger } = options
    const crashMonitor = new CrashMonitor({ quarantine: this.quarantine, logger })
    this.#crashMonitor = crashMonitor
    this.#localScheduler = new PromptScheduler({ getMemoryTokens, getLoadShare, crashMonitor, random: Math.random, startedMs: performance.now() })
    this.#localQueue = new PlacementQueue(this.#localScheduler)
    this.#shareCopy = new ShareCopy(this.#localScheduler.shares)
  }

  /** Placements that were refused because of a blocked prompt part. */
  get blockedCalls (): number {
    return this.#blockedCalls
  }

  /** Events of calls of a scheduler that could not be sent to it, because it was lost or did not reply. */
  get unsentProgress (): number {
    return this.#reporter.unsentProgress
  }

  countBlockedParts (): number {
    return this.quarantine.list(performance.now()).filter(({ blockedMs }) => blockedMs > 0).length
  }

  /** Ids of all placement requests that wait or run, for the load report. */
  listRequests (): string[] {
    return this.#reporter.listRequests()
  }

  /** Takes over what the scheduler knows from its reply to a load report, and reports the calls that it does not know. */
  applySummary (summary: Pick<LoadSummary, 'suspects' | 'shares' | 'term' | 'unknownPlacements'>, link: Link): void {
    this.#reporter.report(summary.unknownPlacements, link)
    this.#shareCopy.apply(summary, link, performance.now())
    this.#suspectCopy.apply(summary, { link, isDetached: this.#findLink() !== link }, performance.now())
  }

  setTargets (entries: readonly TargetEntry[]): void {
    this.#localScheduler.setTargets(entries)
  }

  /** Returns the verdict and the instance that decided; `local` stands for this router. */
  async request (request: PlacementRequest): Promise<{ verdict: PlacementVerdict, scheduler: string }> {
    const decided = await this.#place(request)
    if (decided.verdict.type === 'blocked') this.#blockedCalls++
    return decided
  }

  async #place (request: PlacementRequest): Promise<{ verdict: PlacementVerdict, scheduler: string }> {
    const link = this.#findLink()
    if (!link) return this.#requestLocally(request)
    const refusal = this.#findRefusal(request, performance.now())
    if (refusal) return { verdict: refusal, scheduler: 'local' }
    this.#reporter.start(request.id)
    try {
      const verdict = PlacementVerdict.parse(await link.request('requestPlacement', request, { timeoutMs: REPLY_TIMEOUT_MS }))
      const decided = { verdict, scheduler: link.peer.instance }
      this.#reporter.settle(request.id)
      if (verdict.type !== 'place') return decided
      this.#reporter.add(request.id, link)
      const { target, waitMs, readMs, nominalReadMs = readMs } = verdict
      this.#localScheduler.accept({ request, target, readMs: nominalReadMs, isRead: false }, performance.now(), { estimatedMs: waitMs + readMs, isCounted: true })
      return decided
    } catch (error) {
      this.#options.logger.warn('The scheduler did not reply; this router decides by itself.', { scheduler: link.peer.instance, requestId: request.id, reason: String(error) })
      this.#fallbackUntilMs = performance.now() + FALLBACK_MS
      this.#suspectCopy.detach()
      this.#reporter.settle(request.id)
      // If the scheduler has placed the call although no valid reply arrived, this report ends the call there.
      link.send('reportProgress', [[request.id, 'ended']] satisfies PlacementProgress)
      return await this.#requestLocally(request)
    }
  }

  /** Records the progress of a call and reports it to the scheduler that tracks the call. */
  record (id: string, event: ProgressEvent): void {
    this.#localQueue.record(id, event)
    this.#reporter.record(id, event)
  }

  close (): void {
    this.#localQueue.close()
  }

  /** Finds a refusal that the scheduler would give too. It decides on short blocks and on the probe after a block. */
  #findRefusal (request: PlacementRequest, nowMs: number): PlacementVerdict | undefined {
    const blocked = this.quarantine.findBlocked(request, nowMs)
    return blocked && blocked.blockedMs > MIN_CERTAIN_BLOCK_MS ? this.#crashMonitor.findRefusal(request, nowMs) : undefined
  }

  async #requestLocally (request: PlacementRequest): Promise<{ verdict: PlacementVerdict, scheduler: string }> {
    const verdict = await this.#localQueue.request(request)
    if (verdict.type === 'place') this.#reporter.add(request.id, undefined)
    return { verdict, scheduler: 'local' }
  }

  #findLink (): Link | undefined {
    if (performance.now() < this.#fallbackUntilMs) return undefined
    const link = this.#options.getLink()
    if (link) this.#registerAt(link)
    return link
  }

  /** Reports the calls that the scheduler does not know, and to a new one also suspected prompt parts and account shares. */
  #registerAt (link: Link): void {
    const reported = this.#reporter.register(link)
    if (link === this.#registeredLink) return
    this.#registeredLink = link
    this.#suspectCopy.send(link, performance.now())
    this.#shareCopy.send(link, performance.now())
    this.#options.logger.info('A scheduler was found.', { scheduler: link.peer.instance, running: reported })
  }
}
