import { SchedulerHost } from '../../../../instance/_lib/SchedulerHost'
import { decodeGrants } from '../../../../schedule/decodeGrants'
import { decodeHeartbeat } from '../../../../schedule/decodeHeartbeat'
import { decodePeerMessage } from '../../../../schedule/decodePeerMessage'
import { decodeRouterBatch } from '../../../../schedule/decodeRouterBatch'
import { encodeGrants } from '../../../../schedule/encodeGrants'
import { encodeHeartbeat } from '../../../../schedule/encodeHeartbeat'
import { encodePeerMessage } from '../../../../schedule/encodePeerMessage'
import { encodeRouterBatch } from '../../../../schedule/encodeRouterBatch'
import type { GrantOperation } from '../../../../schedule/GrantOperation'
import type { NameDecoder } from '../../../../schedule/NameDecoder'
import type { RouterOperation } from '../../../../schedule/RouterOperation'
import type { RouterReport } from '../../../../schedule/RouterReport'
import { SchedulerElection } from '../../../../schedule/SchedulerElection'
import type { ZoneScheduler } from '../../../../schedule/ZoneScheduler'
import type { SimClock } from '../SimClock'
import type { SimNetwork } from '../SimNetwork'
import type { SimRequest } from '../SimRequest'
import type { SimTargets } from '../SimTargets'

const SERVICE = 'llama'
const TICK_INTERVAL_MS = 50
const HEARTBEAT_INTERVAL_MS = 250
/** Shortest interval between two batches to the scheduler. */
const COALESCE_MS = 20
const PROGRESS_INTERVAL_MS = 1_000
/** Progress is reported when the cost exceeds the hint and this multiple of the last reported cost. */
const PROGRESS_FACTOR = 1.5

interface SimRouterOptions {
  instance: string
  zone: string
  index: number
  clock: SimClock
  network: SimNetwork
  targets: SimTargets
  zoneTargets: Array<{ name: string, service: string, slots: number }>
  isTargetOpen: (target: string) => boolean
  /** False in the comparison run, in which the zone schedulers exchange no account state. */
  hasZoneExchange: boolean
  onStart: (request: SimRequest) => void
  /** Called for a request whose target failed, to queue it again. */
  onRetry: (router: SimRouter, request: SimRequest) => void
  listRouters: () => SimRouter[]
}

/** A granted request that runs. */
interface ActiveGrant {
  grant: GrantOperation
  request: SimRequest
  startedAtMs: number
  reportedCost: number
}

/** Simulated router: a queue per account in place of the admission gate, and the zone scheduler of the product. */
export class SimRouter {
  readonly instance: string
  readonly zone: string
  isAlive = true
  readonly queues = new Map<string, SimRequest[]>()
  readonly #options: SimRouterOptions
  readonly #activeGrants = new Map<number, ActiveGrant>()
  readonly #ledger = new Map<string, RouterReport['ledger'][number]>()
  #election: SchedulerElection
  #host?: SchedulerHost
  #scheduler?: string
  #session = 0
  #lastGrantId = 0
  #pendingOperations: RouterOperation[] = []
  /** Accounts whose backlog has to be sent with the next batch. */
  #changedAccounts = new Set<string>()
  #lastBatchAtMs = -Infinity
  #lastHeartbeatAtMs = -Infinity
  /** Ledger entries for the next heartbeat to the routers of the zone. */
  #ledgerToReplicate: RouterReport['ledger'] = []
  #isBatchScheduled = false

  constructor (options: SimRouterOptions) {
    this.#options = options
    this.instance = options.instance
    this.zone = options.zone
    this.#election = this.#createElection()
    options.clock.schedule(options.index, () => this.#tick())
  }

  get isLeading (): boolean {
    return this.#host !== undefined
  }

  get scheduler (): ZoneScheduler | undefined {
    return this.#host?.scheduler
  }

  enqueue (request: SimRequest): void {
    const queue = this.queues.get(request.account) ?? []
    this.queues.set(request.account, queue)
    queue.push(request)
    this.#changedAccounts.add(request.account)
    this.#scheduleBatch()
  }

  /** Simulates a crash that loses queued and running requests; the targets complete the latter. Returns the queued ones. */
  stop (): SimRequest[] {
    this.isAlive = false
    const lost = [...this.queues.values()].flat()
    this.queues.clear()
    return lost
  }

  /** Simulates a restart of the process with empty state. */
  start (): void {
    this.isAlive = true
    this.#options.network.resetConnections(this)
    this.#activeGrants.clear()
    this.#ledger.clear()
    this.#stopLeading()
    this.#scheduler = undefined
    this.#session = 1_000 + this.#session
    this.#election = this.#createElection()
  }

  handleMessage (from: { instance: string, zone: string }, type: string, body: unknown, names: NameDecoder): void {
    if (type === 'h') this.#handleHeartbeat(from.instance, decodeHeartbeat(body, names))
    else if (type === 'zoneReport') this.#host?.handleReport(from.instance, body as RouterReport)
    else if (type === 'q') this.#host?.handleBatch(from.instance, decodeRouterBatch(body, names))
    else if (type === 'g') this.#handleGrants(from.instance, decodeGrants(body, names))
    else if (type === 'x') this.#host?.handlePeerMessage(from.zone, from.instance, decodePeerMessage(body, names))
  }

  #createElection (): SchedulerElection {
    const { clock, index, listRouters } = this.#options
    const election = new SchedulerElection(clock.nowMs, { instance: this.instance, startedAt: clock.nowMs + index, hasPeers: true })
    for (const node of listRouters()) {
      if (node.zone !== this.zone || node === this) continue
      election.addMember(node.instance, clock.nowMs)
      if (clock.nowMs > 0) node.#election.addMember(this.instance, clock.nowMs + index)
    }
    return election
  }

  #tick (): void {
    const { clock } = this.#options
    clock.schedule(TICK_INTERVAL_MS, () => this.#tick())
    if (!this.isAlive) return
    this.#runElection(this.#election.tick(clock.nowMs))
    this.#reportProgress()
    this.#host?.tick(clock.nowMs)
    if (this.#host && clock.nowMs - this.#lastHeartbeatAtMs >= HEARTBEAT_INTERVAL_MS) this.#sendHeartbeats()
    if (clock.nowMs - this.#lastBatchAtMs >= HEARTBEAT_INTERVAL_MS) this.#sendBatch()
  }

  #runElection (effects: ReturnType<SchedulerElection['tick']>): void {
    for (const effect of effects) {
      if (effect.type === 'lead') this.#startLeading(effect.term)
      else if (effect.type === 'resign') this.#stopLeading()
      else this.#register(effect.instance)
    }
  }

  #stopLeading (): void {
    this.#host?.stop()
    this.#host = undefined
  }

  #startLeading (term: number): void {
    const { clock, zoneTargets, isTargetOpen } = this.#options
    this.#host = new SchedulerHost({
      zone: this.zone,
      term,
      isTargetOpen,
      getWeight: () => 1,
      metrics: { addCount: () => {}, setGauge: () => {} },
      getNowMs: () => clock.nowMs,
      scheduleFlush: run => clock.schedule(0, run),
      sendGrants: (router, session, grants) => this.#sendMessage(router, 'g', names => encodeGrants(session, grants, names)),
      sendPeerMessage: (instance, message) => this.#sendMessage(instance, 'x', names => encodePeerMessage(message, names)),
      replicate: ledger => { this.#ledgerToReplicate = ledger }
    })
    this.#host.scheduler.setTargets(zoneTargets)
    this.#sendHeartbeats()
    this.#host.start({ routers: [...this.#election.listMembers(), this.instance], zones: this.#listOtherZones() })
    this.#register(this.instance)
  }

  #handleHeartbeat (instance: string, heartbeat: ReturnType<typeof decodeHeartbeat>): void {
    this.#runElection(this.#election.handleHeartbeat(this.#options.clock.nowMs, instance, heartbeat))
    for (const entry of heartbeat.ledger) this.#ledger.set(entry.account, entry)
  }

  #register (scheduler: string): void {
    this.#scheduler = scheduler
    this.#session++
    this.#pendingOperations = []
    this.#changedAccounts.clear()
    const held = [...this.#activeGrants.values()].map(({ grant, request, startedAtMs }) => {
      const { id, account, service, target, lentBy } = grant
      return { id, account, service, target, lentBy, charged: Math.max(request.hint, this.#options.targets.computeCost(request, startedAtMs)) }
    })
    this.#lastGrantId = Math.max(0, ...this.#activeGrants.keys())
    const backlog = [...this.queues.keys()].map(account => this.#createBacklog(account))
    const report: RouterReport = { session: this.#session, held, backlog, settled: [], ledger: [...this.#ledger.values()] }
    this.#sendMessage(scheduler, 'zoneReport', () => report)
  }

  #handleGrants (scheduler: string, batch: ReturnType<typeof decodeGrants>): void {
    if (scheduler !== this.#scheduler) return
    if (batch.session === 0) return this.#register(scheduler)
    if (batch.session !== this.#session) return
    for (const grant of batch.grants) this.#acceptGrant(grant)
  }

  #acceptGrant (grant: GrantOperation): void {
    this.#lastGrantId = Math.max(this.#lastGrantId, grant.id)
    const queue = this.queues.get(grant.account)
    const request = queue?.shift()
    if (!request) {
      this.#pendingOperations.push({ type: 'decline', id: grant.id })
      this.#changedAccounts.add(grant.account)
      return this.#scheduleBatch()
    }
    if (grant.estimate !== request.hint) this.#pendingOperations.push({ type: 'start', id: grant.id, estimate: request.hint })
    const active: ActiveGrant = { grant, request, startedAtMs: this.#options.clock.nowMs, reportedCost: 0 }
    this.#activeGrants.set(grant.id, active)
    this.#scheduleBatch()
    this.#options.onStart(request)
    this.#options.targets.run(grant.target, request, result => {
      if (this.#activeGrants.get(grant.id) !== active || !this.isAlive) return
      this.#activeGrants.delete(grant.id)
      this.#pendingOperations.push({ type: 'release', id: grant.id, ...result })
      if (!result.isHealthy) this.#options.onRetry(this, request)
      this.#scheduleBatch()
    })
  }

  #reportProgress (): void {
    if (this.#options.clock.nowMs % PROGRESS_INTERVAL_MS >= TICK_INTERVAL_MS) return
    for (const active of this.#activeGrants.values()) {
      const cost = this.#options.targets.computeCost(active.request, active.startedAtMs)
      if (cost <= Math.max(active.request.hint, active.reportedCost * PROGRESS_FACTOR)) continue
      active.reportedCost = cost
      this.#pendingOperations.push({ type: 'progress', id: active.grant.id, cost })
      this.#scheduleBatch()
    }
  }

  #createBacklog (account: string): Extract<RouterOperation, { type: 'backlog' }> {
    const queue = this.queues.get(account) ?? []
    return { type: 'backlog', account, service: SERVICE, waiting: queue.length, estimate: queue.reduce((sum, request) => sum + request.hint, 0) / Math.max(1, queue.length) }
  }

  #scheduleBatch (): void {
    if (this.#isBatchScheduled) return
    this.#isBatchScheduled = true
    const { clock } = this.#options
    clock.schedule(Math.max(0, this.#lastBatchAtMs + COALESCE_MS - clock.nowMs), () => this.#sendBatch())
  }

  #sendBatch (): void {
    this.#isBatchScheduled = false
    if (!this.isAlive || this.#scheduler === undefined) return
    this.#lastBatchAtMs = this.#options.clock.nowMs
    const operations = [...this.#pendingOperations, ...[...this.#changedAccounts].map(account => this.#createBacklog(account))]
    this.#pendingOperations = []
    this.#changedAccounts.clear()
    const batch = { session: this.#session, lastGrantId: this.#lastGrantId, operations }
    this.#sendMessage(this.#scheduler, 'q', names => encodeRouterBatch(batch, names))
  }

  #sendHeartbeats (): void {
    this.#lastHeartbeatAtMs = this.#options.clock.nowMs
    const heartbeat = { term: this.#election.term, isLeaving: false, ledger: this.#ledgerToReplicate }
    this.#ledgerToReplicate = []
    for (const node of this.#options.listRouters()) {
      if (node.zone === this.zone && node !== this) this.#sendMessage(node.instance, 'h', names => encodeHeartbeat(heartbeat, names))
    }
    if (this.#options.hasZoneExchange) this.#connectZones()
  }

  #listOtherZones (): string[] {
    const { hasZoneExchange, listRouters } = this.#options
    return hasZoneExchange ? [...new Set(listRouters().map(node => node.zone))].filter(zone => zone !== this.zone) : []
  }

  /**
   * Connects to the scheduler of each other zone. A real router asks the routers of a zone in turn for their scheduler.
   */
  #connectZones (): void {
    for (const node of this.#options.listRouters()) {
      if (node.zone === this.zone || !node.isAlive || !node.isLeading || this.#host!.hasLivePeer(node.zone)) continue
      this.#host!.connectPeer(node.zone, node.instance)
    }
  }

  #sendMessage (instance: string, type: string, createBody: Parameters<SimNetwork['send']>[3]): void {
    const node = this.#options.listRouters().find(candidate => candidate.instance === instance)
    if (node && this.isAlive) this.#options.network.send(this, node, type, createBody)
  }
}
