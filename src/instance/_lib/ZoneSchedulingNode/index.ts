import { ZoneHelloMessage } from '../../../contract/ZoneHelloMessage'
import { ZoneReportMessage } from '../../../contract/ZoneReportMessage'
import type { Link } from '../../../link/Link'
import type { LinkOptions } from '../../../link/LinkOptions'
import { decodeGrants } from '../../../schedule/decodeGrants'
import { decodeHeartbeat } from '../../../schedule/decodeHeartbeat'
import { decodePeerMessage } from '../../../schedule/decodePeerMessage'
import { decodeRouterBatch } from '../../../schedule/decodeRouterBatch'
import { encodeGrants } from '../../../schedule/encodeGrants'
import { encodeHeartbeat } from '../../../schedule/encodeHeartbeat'
import { encodePeerMessage } from '../../../schedule/encodePeerMessage'
import { encodeRouterBatch } from '../../../schedule/encodeRouterBatch'
import type { FleetAdmissionGate } from '../../../schedule/FleetAdmissionGate'
import type { MetricsSink } from '../../../schedule/MetricsSink'
import { NameDecoder } from '../../../schedule/NameDecoder'
import type { RouterReport } from '../../../schedule/RouterReport'
import { SchedulerElection } from '../../../schedule/SchedulerElection'
import type { ComponentLogger } from '../../../telemetry/ComponentLogger'
import { PeerLinks } from '../PeerLinks'
import type { RouterDirectory } from '../RouterDirectory'
import { SchedulerHost } from '../SchedulerHost'
import { ZoneSchedulerClient } from '../ZoneSchedulerClient'

const TICK_INTERVAL_MS = 50
const HEARTBEAT_INTERVAL_MS = 250
const PROBE_INTERVAL_MS = 500
const PROBE_TIMEOUT_MS = 500
/** A longer gap between ticks means that the process was paused; peers have freed its grants by then. */
const PAUSE_THRESHOLD_MS = 1_000

interface ZoneSchedulingNodeOptions {
  instance: string
  zone: string
  gate: FleetAdmissionGate
  directory: RouterDirectory
  linkOptions: LinkOptions
  metrics: MetricsSink
  logger: ComponentLogger
  getWeight: (account: string) => number
  isTargetOpen: (target: string) => boolean
  listTargets: () => Array<{ name: string, service: string, slots: number }>
}

/**
 * Connects a router to the scheduling of its zone: takes part in the election of the scheduler, runs the scheduler while
 * elected, and connects the router's admission gate to the elected scheduler.
 */
export class ZoneSchedulingNode {
  readonly #options: ZoneSchedulingNodeOptions
  readonly #startedAtMs = Date.now()
  readonly #election: SchedulerElection
  readonly #links: PeerLinks
  readonly #schedulerClient: ZoneSchedulerClient
  readonly #decoders = new WeakMap<Link, NameDecoder>()
  #host?: SchedulerHost
  #timer?: NodeJS.Timeout
  /** Ledger entries to send with the next heartbeat. */
  #unsentLedger: RouterReport['ledger'] = []
  #lastTickAtMs = performance.now()
  #lastHeartbeatAtMs = -Infinity
  #lastProbeAtMs = -Infinity
  #probeCount = 0

  constructor (options: ZoneSchedulingNodeOptions) {
    this.#options = options
    const { instance, zone, directory, linkOptions, gate } = options
    this.#links = new PeerLinks({ directory, linkOptions, onConnected: peer => this.#addMember(peer), onDisconnected: peer => this.#handleDisconnect(peer) })
    const hasPeers = this.#links.listInstances(zone).length > 0
    this.#election = new SchedulerElection(performance.now(), { instance, startedAt: this.#startedAtMs, hasPeers })
    this.#schedulerClient = new ZoneSchedulerClient({
      gate,
      sendBatch: (scheduler, batch) => this.#send(scheduler, 'q', {
        handleLocally: () => this.#host?.handleBatch(instance, batch),
        createBody: names => encodeRouterBatch(batch, names)
      }),
      sendReport: (scheduler, report) => this.#send(scheduler, 'zoneReport', {
        handleLocally: () => this.#host?.handleReport(instance, report),
        createBody: () => report
      })
    })
  }

  /** Runs the scheduler of the zone; undefined unless this router is elected. */
  get schedulerHost (): SchedulerHost | undefined {
    return this.#host
  }

  start (): void {
    this.#links.update(this.#options.zone)
    this.#tick()
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS)
  }

  /** Hands over the scheduler role if this router has it, and closes the links. */
  stop (): void {
    clearInterval(this.#timer)
    if (this.#election.isLeading) this.#sendHeartbeat(true)
    this.#runElection(this.#election.stop())
    this.#schedulerClient.stop()
    setImmediate(() => this.#links.close())
  }

  notifyChange (): void {
    this.#schedulerClient.notifyChange()
  }

  updateTargets (): void {
    this.#host?.scheduler.setTargets(this.#options.listTargets())
  }

  handleHello (body: unknown, link: Link): ZoneHelloMessage {
    const [startedAt] = ZoneHelloMessage.parse(body)
    if (link.peer.zone === this.#options.zone) this.#election.addMember(link.peer.instance, startedAt)
    if (this.#host && link.peer.zone === this.#options.zone) this.#sendHeartbeatTo(link.peer.instance, false, [])
    return this.#createHello()
  }

  handleHeartbeat (body: unknown, link: Link): void {
    const heartbeat = decodeHeartbeat(body, this.#getDecoder(link))
    this.#runElection(this.#election.handleHeartbeat(performance.now(), link.peer.instance, heartbeat))
    this.#schedulerClient.mergeLedger(heartbeat.ledger)
  }

  handleReport (body: unknown, link: Link): void {
    this.#host?.handleReport(link.peer.instance, ZoneReportMessage.parse(body))
  }

  handleBatch (body: unknown, link: Link): void {
    const batch = decodeRouterBatch(body, this.#getDecoder(link))
    this.#host?.handleBatch(link.peer.instance, batch)
  }

  handleGrants (body: unknown, link: Link): void {
    const { session, grants } = decodeGrants(body, this.#getDecoder(link))
    this.#registerAfterPause()
    this.#schedulerClient.handleGrants(link.peer.instance, session, grants)
  }

  handlePeerMessage (body: unknown, link: Link): void {
    const message = decodePeerMessage(body, this.#getDecoder(link))
    this.#host?.handlePeerMessage(link.peer.zone, link.peer.instance, message)
  }

  #tick (): void {
    const nowMs = performance.now()
    this.#registerAfterPause()
    this.#lastTickAtMs = nowMs
    this.#links.update(this.#options.zone)
    this.#runElection(this.#election.tick(nowMs))
    this.#host?.tick(nowMs)
    this.#schedulerClient.tick(nowMs)
    if (this.#host && nowMs - this.#lastHeartbeatAtMs >= HEARTBEAT_INTERVAL_MS) this.#sendHeartbeat(false)
    if (this.#host && nowMs - this.#lastProbeAtMs >= PROBE_INTERVAL_MS) this.#findPeerSchedulers(nowMs)
  }

  /**
   * Registers with the scheduler again after a pause of this process, because grants that were sent during the pause
   * belong to a session that the scheduler has ended.
   */
  #registerAfterPause (): void {
    const nowMs = performance.now()
    if (nowMs - this.#lastTickAtMs <= PAUSE_THRESHOLD_MS) return
    this.#lastTickAtMs = nowMs
    this.#options.logger.warn('The process was paused; registering with the scheduler again.')
    this.#runElection(this.#election.tick(nowMs))
    this.#schedulerClient.register()
  }

  #runElection (effects: Iterable<ReturnType<SchedulerElection['tick']> extends Generator<infer E> ? E : never>): void {
    for (const effect of effects) {
      if (effect.type === 'lead') this.#startLeading(effect.term)
      else if (effect.type === 'resign') this.#stopLeading()
      else this.#schedulerClient.setScheduler(effect.instance)
    }
  }

  #startLeading (term: number): void {
    const { instance, zone, logger, metrics, getWeight, isTargetOpen, listTargets } = this.#options
    logger.info('This router is now the scheduler of its zone.', { zone, term })
    metrics.addCount('schedule_elections')
    this.#host = new SchedulerHost({
      zone,
      term,
      getWeight,
      isTargetOpen,
      metrics,
      getNowMs: () => performance.now(),
      scheduleFlush: run => { setImmediate(run) },
      sendGrants: (router, session, grants) => this.#send(router, 'g', {
        handleLocally: () => this.#schedulerClient.handleGrants(instance, session, grants),
        createBody: names => encodeGrants(session, grants, names)
      }),
      sendPeerMessage: (peer, message) => this.#send(peer, 'x', { handleLocally: () => {}, createBody: names => encodePeerMessage(message, names) }),
      replicate: ledger => this.#recordLedger(ledger)
    })
    this.#host.scheduler.setTargets(listTargets())
    this.#sendHeartbeat(false)
    const zones = this.#links.listZones().filter(other => other !== zone)
    this.#host.start({ routers: [...this.#election.listMembers(), instance], zones })
    this.#lastProbeAtMs = -Infinity
    this.#schedulerClient.setScheduler(instance)
  }

  #stopLeading (): void {
    this.#options.logger.info('This router is no longer the scheduler of its zone.')
    this.#host?.stop()
    this.#host = undefined
    this.#schedulerClient.clearScheduler()
  }

  #recordLedger (ledger: RouterReport['ledger']): void {
    this.#unsentLedger = ledger
    this.#schedulerClient.mergeLedger(ledger)
  }

  #sendHeartbeat (isLeaving: boolean): void {
    this.#lastHeartbeatAtMs = performance.now()
    const ledger = this.#unsentLedger
    this.#unsentLedger = []
    for (const instance of this.#links.listInstances(this.#options.zone)) this.#sendHeartbeatTo(instance, isLeaving, ledger)
  }

  #sendHeartbeatTo (instance: string, isLeaving: boolean, ledger: RouterReport['ledger']): void {
    this.#links.send(instance, 'h', names => encodeHeartbeat({ term: this.#election.term, isLeaving, ledger }, names))
  }

  /**
   * For each other zone whose scheduler is unknown or silent, asks one of the zone's routers which instance it is; a
   * different router in each round.
   */
  #findPeerSchedulers (nowMs: number): void {
    this.#lastProbeAtMs = nowMs
    this.#probeCount++
    for (const zone of this.#links.listZones()) {
      if (zone === this.#options.zone || this.#host?.hasLivePeer(zone)) continue
      const instances = this.#links.listInstances(zone)
      void this.#connectPeerScheduler(zone, instances[this.#probeCount % instances.length])
    }
  }

  async #connectPeerScheduler (zone: string, instance: string): Promise<void> {
    const hello = await this.#requestHello(instance)
    const scheduler = hello?.[2]
    if (scheduler) this.#host?.connectPeer(zone, scheduler)
  }

  async #addMember (instance: string): Promise<void> {
    if (!this.#links.listInstances(this.#options.zone).includes(instance)) return
    const hello = await this.#requestHello(instance)
    if (hello) this.#election.addMember(instance, hello[0])
  }

  async #requestHello (instance: string): Promise<ZoneHelloMessage | undefined> {
    try {
      const reply = await this.#links.request(instance, 'zoneHello', this.#createHello(), { timeoutMs: PROBE_TIMEOUT_MS })
      return ZoneHelloMessage.parse(reply)
    } catch {
      return undefined
    }
  }

  #createHello (): ZoneHelloMessage {
    return [this.#startedAtMs, this.#election.term, this.#election.scheduler ?? null]
  }

  #handleDisconnect (instance: string): void {
    this.#election.removeMember(instance)
    this.#host?.removeRouter(instance)
  }

  #getDecoder (link: Link): NameDecoder {
    const decoder = this.#decoders.get(link) ?? new NameDecoder()
    this.#decoders.set(link, decoder)
    return decoder
  }

  #send (instance: string, type: string, message: { handleLocally: () => void, createBody: Parameters<PeerLinks['send']>[2] }): boolean {
    if (instance !== this.#options.instance) return this.#links.send(instance, type, message.createBody)
    setImmediate(message.handleLocally)
    return true
  }
}
