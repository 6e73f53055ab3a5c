import { FleetView } from '../../../contract/FleetView'
import type { LoadReport } from '../../../contract/LoadReport'
import { LoadSummary } from '../../../contract/LoadSummary'
import { StoredDocument } from '../../../contract/StoredDocument'
import type { TargetEntry } from '../../../contract/TargetEntry'
import type { WatchFleetRequest } from '../../../contract/WatchFleetRequest'
import { LinkClient } from '../../../link/LinkClient'
import type { Link } from '../../../link/Link'
import type { LinkOptions } from '../../../link/LinkOptions'
import type { ComponentLogger } from '../../../telemetry/ComponentLogger'

interface RegistryClientOptions {
  seeds: readonly string[]
  linkPort: number
  linkOptions: LinkOptions
  logger: ComponentLogger
  /** Called with each document that is newer than all before it. */
  onDocument: (document: StoredDocument) => void
  /** Called with each list of targets that the leader sends. */
  onTargets: (entries: readonly TargetEntry[]) => void
  createReport: () => LoadReport
  /** Called with each reply to a load report and the link to the leader that sent it. */
  onSummary: (summary: LoadSummary, link: Link) => void
}

const WATCH_WAIT_MS = 1_000
const WATCH_TIMEOUT_MS = 1_700
const FETCH_TIMEOUT_MS = 1_500
const RETRY_DELAY_MS = 100
const REPORT_INTERVAL_MS = 250
const REPORT_TIMEOUT_MS = 1_000
/** A leader that has not replied for this time gets no placement requests. */
const LEADER_TIMEOUT_MS = 700

/**
 * A router's client of the registry, with a link to each replica. It long-polls all replicas: the newest route document
 * comes from whichever has it first, the list of targets only from the leader. It also reports the router's load to the
 * leader and receives the sums of load reports. The version of the route document never decreases.
 */
export class RegistryClient {
  readonly #options: RegistryClientOptions
  readonly #clients = new Map<string, LinkClient>()
  #timer: NodeJS.Timeout | undefined
  #isClosed = false
  #version = 0
  #fetching: Promise<void> | undefined
  #targetRevision = ''
  #targetsReadAtMs = -Infinity
  #leader: string | undefined
  #leaderRepliedAtMs = -Infinity
  #isReporting = false

  constructor (options: RegistryClientOptions) {
    this.#options = options
  }

  get version (): number {
    return this.#version
  }

  /** When the leader read the newest list of targets, in milliseconds of the monotonic clock of this process. */
  get targetsReadAtMs (): number {
    return this.#targetsReadAtMs
  }

  /** Link to the leader; undefined while no leader is known or the leader does not reply. */
  get leaderLink (): Link | undefined {
    if (this.#leader === undefined || performance.now() - this.#leaderRepliedAtMs > LEADER_TIMEOUT_MS) return undefined
    return this.#clients.get(this.#leader)?.link
  }

  start (): void {
    this.addReplicas(this.#options.seeds)
    this.#timer = setInterval(() => { void this.reportLoad() }, REPORT_INTERVAL_MS)
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

  /** Reports the load to the leader now, unless the reply to a report is awaited. */
  async reportLoad (): Promise<void> {
    const leader = this.#leader
    const client = leader === undefined ? undefined : this.#clients.get(leader)
    if (!client || this.#isReporting) return
    this.#isReporting = true
    try {
      const summary = LoadSummary.parse(await client.request('reportLoad', this.#options.createReport(), { timeoutMs: REPORT_TIMEOUT_MS }))
      if (this.#leader === leader) this.#leaderRepliedAtMs = performance.now()
      if (client.link) this.#options.onSummary(summary, client.link)
    } catch (error) {
      this.#options.logger.debug('A load report failed.', { leader, reason: String(error) })
      if (this.#leader === leader) this.#leader = undefined
    }
    this.#isReporting = false
  }

  async #watch (host: string, client: LinkClient): Promise<void> {
    let isReachable = true
    while (!this.#isClosed) {
      const { link } = client
      try {
        const request: WatchFleetRequest = { version: this.#version, targetRevision: this.#targetRevision, waitMs: WATCH_WAIT_MS }
        const view = FleetView.parse(await client.request('watchFleet', request, { timeoutMs: WATCH_TIMEOUT_MS }))
        if (!isReachable) this.#options.logger.info('A registry replica is reachable again.', { host })
        isReachable = true
        await this.#applyView(host, client, view)
      } catch (error) {
        if (isReachable && !this.#isClosed) this.#options.logger.warn('A registry replica is not reachable.', { host, reason: String(error) })
        isReachable = false
        if (this.#leader === host) this.#leader = undefined
        // A link that does not reply may never recover, while a new one would work.
        if (client.link === link) link?.close()
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
      }
    }
  }

  async #applyView (host: string, client: LinkClient, view: FleetView): Promise<void> {
    if (view.isLeader) this.#setLeader(host)
    else if (this.#leader === host) this.#leader = undefined
    this.addReplicas(view.replicas)
    if (view.targetAgeMs !== undefined) this.#applyTargets(view, performance.now() - view.targetAgeMs)
    if (view.version <= this.#version) return
    this.#fetching ??= this.#fetchDocument(client).finally(() => { this.#fetching = undefined })
    await this.#fetching
  }

  #setLeader (host: string): void {
    this.#leader = host
    this.#leaderRepliedAtMs = performance.now()
  }

  #applyTargets (view: FleetView, readAtMs: number): void {
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
}
