import { FleetView } from '../../../contract/FleetView'
import type { LoadReport } from '../../../contract/LoadReport'
import { LoadSummary } from '../../../contract/LoadSummary'
import { StoredDocument } from '../../../contract/StoredDocument'
import type { TargetEntry } from '../../../contract/TargetEntry'
import type { WatchFleetRequest } from '../../../contract/WatchFleetRequest'
import { LinkClient } from '../../../link/LinkClient'
import type { Link } from '../../../link/Link'
import type { LinkOptions } from '../../../link/LinkOptions'
import type { PartLogger } from '../../../telemetry/PartLogger'

interface FleetFollowerOptions {
  seeds: readonly string[]
  linkPort: number
  linkOptions: LinkOptions
  logger: PartLogger
  /** A newer document than any before. */
  onDocument: (document: StoredDocument) => void
  onTargets: (entries: readonly TargetEntry[]) => void
  createReport: () => LoadReport
  onSummary: (summary: LoadSummary) => void
}

const WATCH_MS = 1_000
const WATCH_TIMEOUT_MS = 1_700
const FETCH_TIMEOUT_MS = 1_500
const RETRY_MS = 100
const REPORT_INTERVAL_MS = 250
const REPORT_TIMEOUT_MS = 1_000
/** A leader that replies to no report for this time is not asked to place calls. */
const LEADER_SILENT_MS = 700

/**
 * Follows the registry over links to all its replicas: the newest route document from whichever replica has it first,
 * the list of targets from the leader, and the sums of load reports. Versions never go back.
 */
export class FleetFollower {
  readonly #options: FleetFollowerOptions
  readonly #clients = new Map<string, LinkClient>()
  #timer: NodeJS.Timeout | undefined
  #isClosed = false
  #version = 0
  #fetching: Promise<void> | undefined
  #targetRevision = ''
  #targetsReadAtMs = -Infinity
  #leader: string | undefined
  #leaderHeardMs = -Infinity
  #isReporting = false

  constructor (options: FleetFollowerOptions) {
    this.#options = options
  }

  get version (): number {
    return this.#version
  }

  /** When the newest list of targets was read by the leader; monotonic milliseconds. */
  get targetsReadAtMs (): number {
    return this.#targetsReadAtMs
  }

  /** Link to the replica that leads, undefined while none is known or it does not reply. */
  get leaderLink (): Link | undefined {
    if (this.#leader === undefined || performance.now() - this.#leaderHeardMs > LEADER_SILENT_MS) return undefined
    return this.#clients.get(this.#leader)?.link
  }

  start (): void {
    this.addReplicas(this.#options.seeds)
    this.#timer = setInterval(() => { void this.#reportLoad() }, REPORT_INTERVAL_MS)
  }

  addReplicas (hosts: readonly string[]): void {
    for (const host of hosts) {
      if (this.#clients.has(host) || this.#isClosed) continue
      const client = new LinkClient({ host, port: this.#options.linkPort }, this.#options.linkOptions)
      this.#clients.set(host, client)
      void this.#watch(host, client)
    }
  }

  close (): void {
    this.#isClosed = true
    clearInterval(this.#timer)
    for (const client of this.#clients.values()) client.close()
  }

  async #watch (host: string, client: LinkClient): Promise<void> {
    let isReachable = true
    while (!this.#isClosed) {
      const { link } = client
      try {
        const request: WatchFleetRequest = { version: this.#version, targetRevision: this.#targetRevision, waitMs: WATCH_MS }
        const view = FleetView.parse(await client.request('watchFleet', request, { timeoutMs: WATCH_TIMEOUT_MS }))
        if (!isReachable) this.#options.logger.info('A registry replica is reachable again.', { host })
        isReachable = true
        await this.#accept(host, client, view)
      } catch (error) {
        if (isReachable && !this.#isClosed) this.#options.logger.warn('A registry replica is not reachable.', { host, reason: String(error) })
        isReachable = false
        if (this.#leader === host) this.#leader = undefined
        // A link that does not reply may be silent for good, while a new one would work.
        if (client.link === link) link?.close()
        await new Promise(resolve => setTimeout(resolve, RETRY_MS))
      }
    }
  }

  async #accept (host: string, client: LinkClient, view: FleetView): Promise<void> {
    if (view.isLeader) this.#setLeader(host)
    else if (this.#leader === host) this.#leader = undefined
    this.addReplicas(view.replicas)
    if (view.targetAgeMs !== undefined) this.#acceptTargets(view, performance.now() - view.targetAgeMs)
    if (view.version <= this.#version) return
    this.#fetching ??= this.#fetchDocument(client).finally(() => { this.#fetching = undefined })
    await this.#fetching
  }

  #setLeader (host: string): void {
    this.#leader = host
    this.#leaderHeardMs = performance.now()
  }

  #acceptTargets (view: FleetView, readAtMs: number): void {
    if (readAtMs < this.#targetsReadAtMs) return
    if (view.targets) {
      this.#targetRevision = view.targetRevision
      this.#options.onTargets(view.targets)
    }
    if (view.targetRevision === this.#targetRevision) this.#targetsReadAtMs = readAtMs
  }

  async #fetchDocument (client: LinkClient): Promise<void> {
    const document = StoredDocument.parse(await client.request('fetchDocument', null, { timeoutMs: FETCH_TIMEOUT_MS }))
    if (document.version <= this.#version) return
    this.#version = document.version
    this.#options.onDocument(document)
  }

  async #reportLoad (): Promise<void> {
    const leader = this.#leader
    const client = leader === undefined ? undefined : this.#clients.get(leader)
    if (!client || this.#isReporting) return
    this.#isReporting = true
    try {
      const summary = LoadSummary.parse(await client.request('reportLoad', this.#options.createReport(), { timeoutMs: REPORT_TIMEOUT_MS }))
      if (this.#leader === leader) this.#leaderHeardMs = performance.now()
      this.#options.onSummary(summary)
    } catch (error) {
      this.#options.logger.debug('A load report failed.', { leader, reason: String(error) })
      if (this.#leader === leader) this.#leader = undefined
    }
    this.#isReporting = false
  }
}
