import { z } from 'zod'
import { AccountShare } from '../../../contract/AccountShare'
import { AdoptedPlacement } from '../../../contract/AdoptedPlacement'
import { AppError } from '../../../contract/AppError'
import type { LoadReport } from '../../../contract/LoadReport'
import { PlacementProgress } from '../../../contract/PlacementProgress'
import type { PlacementVerdict } from '../../../contract/PlacementVerdict'
import { PlacementRequest } from '../../../contract/PlacementRequest'
import { SuspectPart } from '../../../contract/SuspectPart'
import type { TargetEntry } from '../../../contract/TargetEntry'
import type { Link } from '../../../link/Link'
import type { MessageHandler } from '../../../link/MessageHandler'
import { AccountTraffic } from '../../../routing/AccountTraffic'
import { CrashMonitor } from '../../../routing/CrashMonitor'
import { computeTrackingStatistics } from '../../../routing/computeTrackingStatistics'
import { MAX_SHARED_SUSPECTS } from '../../../routing/MAX_SHARED_SUSPECTS'
import { PlacementQueue } from '../../../routing/PlacementQueue'
import { PromptQuarantine } from '../../../routing/PromptQuarantine'
import { PromptScheduler } from '../../../routing/PromptScheduler'
import { selectSuspects } from '../../../routing/selectSuspects'
import type { ComponentLogger } from '../../../telemetry/ComponentLogger'
import { compareCallCounts } from './_lib/compareCallCounts'
import { RouterTable } from './_lib/RouterTable'

interface PlacementServiceOptions {
  isLeader: () => boolean
  getMemoryTokens: (service: string) => number | undefined
  /** Age of the list of targets in milliseconds. */
  getListAgeMs: () => number
  logger: ComponentLogger
}

type Tracking = ReturnType<typeof computeTrackingStatistics> & ReturnType<typeof compareCallCounts> & ReturnType<PromptScheduler['getEstimates']>

const AdoptedPlacements = z.array(AdoptedPlacement)
const AdoptedSuspects = z.array(SuspectPart)
const AdoptedShares = z.array(AccountShare)
const TRACKING_LOG_INTERVAL_MS = 1_000
/** Differences that calls which begin or end between two reports explain, as a share of the tracked calls. */
const MAX_EXPECTED_DIFFERENCE = 0.5
/** What the replies to load reports contain is computed at most this often, because every router gets it four times a second. */
const SUMMARY_INTERVAL_MS = 50
const TRAFFIC_LOG_INTERVAL_MS = 1_000
/** Number of accounts with the smallest share, and of accounts with the most placed tokens, in a log line. */
const MAX_LOGGED_ACCOUNTS = 5

/**
 * Runs the prompt scheduler of the fleet at the leader of the registry. Its state is soft: routers report their running
 * calls and the suspected prompt parts to a new leader, and the calls of a router end when its link closes. Each load report
 * names the requests of its router, which repairs what lost messages and changes of the leader leave behind.
 */
export class PlacementService {
  /** Prompt parts under which targets crashed. */
  readonly quarantine = new PromptQuarantine()
  readonly #options: PlacementServiceOptions
  readonly #routers = new RouterTable({ onRemoved: id => this.#queue.record(id, 'ended') })
  readonly #trafficTimer: NodeJS.Timeout
  readonly #traffic = new AccountTraffic()
  readonly #trackingTimer: NodeJS.Timeout
  #scheduler!: PromptScheduler
  #queue!: PlacementQueue
  readonly #verdicts = { place: 0, refuse: 0, blocked: 0, none: 0 }
  #targets: readonly TargetEntry[] = []
  #suspects: { list: SuspectPart[], atMs: number } = { list: [], atMs: -Infinity }
  #shares: { list: AccountShare[], atMs: number } = { list: [], atMs: -Infinity }

  constructor (options: PlacementServiceOptions) {
    this.#options = options
    this.#trafficTimer = setInterval(() => this.#logTraffic(), TRAFFIC_LOG_INTERVAL_MS)
    this.#trackingTimer = setInterval(() => this.#logTracking(), TRACKING_LOG_INTERVAL_MS)
    this.reset()
  }

  get handlers (): Map<string, MessageHandler> {
    return new Map<string, MessageHandler>([
      ['requestPlacement', (body, link) => this.#place(PlacementRequest.parse(body), link)],
      ['reportProgress', (body, link) => {
        const { idPrefix, requests } = this.#routers.get(link)
        for (const [id, event, elapsedMs] of PlacementProgress.parse(body)) {
          this.#queue.record(idPrefix + id, event, { elapsedMs })
          if (event !== 'read') requests.delete(id)
        }
      }],
      ['adoptPlacements', (body, link) => {
        for (const { isCounted, ...placement } of AdoptedPlacements.parse(body)) {
          this.#scheduler.accept({ ...placement, request: this.#createGlobalRequest(placement.request, link) }, performance.now(), { isCounted })
          this.#routers.get(link).requests.add(placement.request.id)
        }
      }],
      ['adoptSuspects', (body, link) => this.#acceptSuspects(AdoptedSuspects.parse(body), link)],
      ['adoptShares', body => {
        this.#checkLeader('decide on prompts')
        this.#scheduler.shares.merge(AdoptedShares.parse(body), performance.now())
        this.#shares.atMs = -Infinity
      }]
    ])
  }

  /** Suspected prompt parts for the routers. Their block times are up to 50 ms old. */
  getSuspects (): readonly SuspectPart[] {
    const nowMs = performance.now()
    if (nowMs - this.#suspects.atMs > SUMMARY_INTERVAL_MS) this.#suspects = { list: selectSuspects(this.quarantine.list(nowMs), { max: MAX_SHARED_SUSPECTS }), atMs: nowMs }
    return this.#suspects.list
  }

  /** Recent traffic of the client accounts for the routers, up to 50 ms old; empty while all are served in full. */
  getShares (): AccountShare[] {
    const nowMs = performance.now()
    if (nowMs - this.#shares.atMs > SUMMARY_INTERVAL_MS) this.#shares = { list: this.#scheduler.shares.list(nowMs), atMs: nowMs }
    return this.#shares.list
  }

  /** All suspected prompt parts. Throws `not-leader` if this replica does not lead. */
  listSuspects (): SuspectPart[] {
    this.#checkLeader('decide on prompt parts')
    return this.quarantine.list(performance.now())
  }

  /** Releases a prompt part at the request of an operator. Throws `not-leader` if this replica does not lead. */
  releasePart (part: { service: string, part: string }): boolean {
    this.#checkLeader('decide on prompt parts')
    this.#suspects.atMs = -Infinity
    return this.quarantine.release(part, performance.now())
  }

  getQuarantineCounts (): { blockedParts: number, crashes: number } {
    return { blockedParts: this.quarantine.list(performance.now()).filter(({ blockedMs }) => blockedMs > 0).length, crashes: this.quarantine.crashes }
  }

  getCounts (): { waiting: number, running: number, verdicts: Readonly<Record<PlacementVerdict['type'], number>> } {
    const { waitingCount, runningCount } = this.#scheduler
    return { waiting: waitingCount, running: runningCount, verdicts: this.#verdicts }
  }

  /** Smallest share of its due that an account with refused calls got in the last six seconds; 1 if none was refused. */
  getLowestShare (): number {
    return this.#listRefusedAccounts()[0]?.share ?? 1
  }

  /** Compares the calls that the scheduler tracks with those that the routers report. */
  getTracking (): Tracking {
    const nowMs = performance.now()
    const calls = this.#scheduler.listCalls()
    const tracked = new Map<string, number>()
    for (const { request } of calls) {
      const idPrefix = request.id.slice(0, request.id.indexOf(':') + 1)
      tracked.set(idPrefix, (tracked.get(idPrefix) ?? 0) + 1)
    }
    const routers = this.#routers.list().map(([link, { idPrefix, reported }]) => {
      const counts = { router: link.peer.instance, tracked: tracked.get(idPrefix) ?? 0, reported }
      tracked.delete(idPrefix)
      return counts
    })
    const unlinked = [...tracked.values()].reduce((sum, count) => sum + count, 0)
    return { ...computeTrackingStatistics(calls, nowMs), ...this.#scheduler.getEstimates(nowMs), ...compareCallCounts([...routers, { router: 'unlinked', tracked: unlinked, reported: 0 }]) }
  }

  setTargets (entries: readonly TargetEntry[]): void {
    this.#targets = entries
    this.#scheduler.setTargets(entries)
  }

  /** Discards the state of the scheduler, because another replica leads. */
  reset (): void {
    this.#queue?.close()
    this.quarantine.replace([], performance.now())
    this.#traffic.clear()
    this.#suspects = { list: [], atMs: -Infinity }
    this.#shares = { list: [], atMs: -Infinity }
    const { getMemoryTokens, logger } = this.#options
    const crashMonitor = new CrashMonitor({ quarantine: this.quarantine, logger })
    this.#scheduler = new PromptScheduler({ getMemoryTokens, getLoadShare: () => 1, crashMonitor, random: Math.random, startedMs: performance.now() })
    this.#scheduler.setTargets(this.#targets)
    this.#queue = new PlacementQueue(this.#scheduler)
    this.#routers.clearRequests()
  }

  /**
   * Records that a router is alive and what it refused, and ends the requests that it does not name. Returns the ids of
   * those that it names and the scheduler does not know.
   */
  observeRouter (link: Link, report: Pick<LoadReport, 'targets' | 'placements'> & Partial<Pick<LoadReport, 'refusedTokens'>>): string[] {
    for (const [account, tokens] of report.refusedTokens ?? []) {
      this.#scheduler.shares.recordDemand(account, tokens, performance.now())
      this.#traffic.recordRouterRefusals(account, tokens, performance.now())
    }
    const engines = new Set(this.#targets.filter(({ service }) => this.#options.getMemoryTokens(service) !== undefined).map(({ id }) => id))
    const reported = report.targets.reduce((sum, [target, running]) => engines.has(target) ? sum + running : sum, 0)
    return this.#routers.observe(link, { placements: report.placements, reported })
  }

  close (): void {
    this.#routers.close()
    clearInterval(this.#trafficTimer)
    clearInterval(this.#trackingTimer)
    this.#queue.close()
  }

  async #place (request: PlacementRequest, link: Link): Promise<PlacementVerdict> {
    const startedAtMs = performance.now()
    const globalRequest = this.#createGlobalRequest(request, link)
    const { requests } = this.#routers.get(link)
    requests.add(request.id)
    this.#traffic.recordRequest(request, startedAtMs)
    const verdict = await this.#queue.request(globalRequest)
    if (verdict.type !== 'place') requests.delete(request.id)
    this.#traffic.recordVerdict(request, verdict, performance.now())
    const { callId: requestId, account, objectiveMs } = request
    this.#verdicts[verdict.type]++
    const { waiting, running } = this.getCounts()
    this.#options.logger.info('Placement decided.', { requestId, router: link.peer.instance, account, objectiveMs: Math.round(objectiveMs), ...createVerdictFields(verdict), queuedMs: Math.round(performance.now() - startedAtMs), waiting, running, listAgeMs: Math.round(this.#options.getListAgeMs()) })
    return verdict
  }

  /** Gives the request an id that is unique among all routers. Throws `not-leader` if this replica does not lead. */
  #createGlobalRequest (request: PlacementRequest, link: Link): PlacementRequest {
    this.#checkLeader('place calls')
    return { ...request, id: this.#routers.get(link).idPrefix + request.id }
  }

  #listRefusedAccounts (): ReturnType<AccountTraffic['list']> {
    return this.#traffic.list(performance.now()).filter(({ refusedCalls }) => refusedCalls > 0)
  }

  /** Logs the accounts that are furthest below and above their share, while calls are refused. */
  #logTraffic (): void {
    const accounts = this.#traffic.list(performance.now())
    const refused = accounts.filter(({ refusedCalls }) => refusedCalls > 0)
    if (refused.length === 0) return
    const below = refused.slice(0, MAX_LOGGED_ACCOUNTS)
    const above = accounts.sort((a, b) => b.placedTokens - a.placedTokens).slice(0, MAX_LOGGED_ACCOUNTS)
    const { waiting, running } = this.getCounts()
    this.#options.logger.info('Calls of client accounts were refused.', { accounts: accounts.length, refusedAccounts: refused.length, below: below.map(formatFigures), above: above.map(formatFigures), waiting, running })
  }

  #acceptSuspects (suspects: readonly SuspectPart[], link: Link): void {
    this.#checkLeader('decide on prompt parts')
    this.quarantine.merge(suspects.slice(0, MAX_SHARED_SUSPECTS), performance.now())
    this.#suspects.atMs = -Infinity
    this.#options.logger.info('A router handed over its suspected prompt parts.', { router: link.peer.instance, suspects: suspects.length, blocked: suspects.filter(({ blockedMs }) => blockedMs > 0).length })
  }

  #checkLeader (purpose: string): void {
    if (!this.#options.isLeader()) throw new AppError('not-leader', `This replica is not the leader, so it does not ${purpose}.`)
  }

  /** Writes a warning if the difference is more than the calls of a report interval explain, because info lines may be dropped. */
  #logTracking (): void {
    if (!this.#options.isLeader()) return
    const { worst, maxSlowdown, ...tracking } = this.getTracking()
    const rounded = Object.fromEntries(Object.entries(tracking).map(([name, value]) => [name, Math.round(value)]))
    const level = tracking.surplus + tracking.missing > MAX_EXPECTED_DIFFERENCE * (tracking.tracked + 1) ? 'warn' : 'info'
    this.#options.logger[level]('Tracked calls were compared with load reports.', { ...rounded, maxSlowdown: Number(maxSlowdown.toFixed(2)), routers: this.#routers.size, worst })
  }
}

function formatFigures (figures: ReturnType<AccountTraffic['list']>[number]): object {
  return { ...figures, share: Math.round(figures.share * 100) / 100 }
}

function createVerdictFields (verdict: PlacementVerdict): object {
  return 'waitMs' in verdict ? { ...verdict, waitMs: Math.round(verdict.waitMs), readMs: Math.round(verdict.readMs) } : verdict
}
