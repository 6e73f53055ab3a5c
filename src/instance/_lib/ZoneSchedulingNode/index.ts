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
import type { PartLogger } from '../../../telemetry/PartLogger'
import { PeerLinks } from '../PeerLinks'
import { ZoneSchedulerClient } from '../ZoneSchedulerClient'
import type { RouterDirectory } from '../RouterDirectory'
import { SchedulerHost } from '../SchedulerHost'

const TICK_MS = 50
const HEARTBEAT_MS = 250
const PROBE_INTERVAL_MS = 500
const PROBE_TIMEOUT_MS = 500
/** A gap between ticks that is longer than this means that the process was paused; peers have freed its grants. */
const PAUSE_MS = 1_000

interface ScheduleNodeOptions {
  instance: string
  zone: string
  gate: FleetAdmissionGate
  directory: RouterDirectory
  linkOptions: LinkOptions
  metrics: MetricsSink
  logger: PartLogger
  getWeight: (account: string) => number
  isTargetOpen: (target: string) => boolean
  listTargets: () => Array<{ name: string, service: string, slots: number }>
}

/** Takes part in the scheduling of a zone: elects the scheduler, runs it when elected, and connects the gate to it. */
export class ScheduleNode {
  readonly #options: ScheduleNodeOptions
  readonly #startedAt = Date.now()
  readonly #election: SchedulerElection
  readonly #links: PeerLinks
  readonly #agent: ZoneSchedulerClient
  readonly #decoders = new WeakMap<Link, NameDecoder>()
  #host?: SchedulerHost
  #timer?: NodeJS.Timeout
  #replica: RouterReport['ledger'] = []
  #lastTickAtMs = performance.now()
  #lastHeartbeatAtMs = -Infinity
  #lastProbeAtMs = -Infinity
  #probeCount = 0

  constructor (options: ScheduleNodeOptions) {
    this.#options = options
    const { instance, zone, directory, linkOptions, gate } = options
    this.#links = new PeerLinks({ directory, linkOptions, onUp: peer => this.#addMember(peer), onDown: peer => this.#handleDown(peer) })
    const hasPeers = this.#links.listInstances(zone).length > 0
    this.#election = new SchedulerElection(performance.now(), { instance, startedAt: this.#startedAt, hasPeers })
    this.#agent = new ZoneSchedulerClient({
      gate,
      sendBatch: (scheduler, batch) => this.#send(scheduler, 'q', {
        toSelf: () => this.#host?.handleBatch(instance, batch),
        createBody: names => encodeRouterBatch(batch, names)
      }),
      sendReport: (scheduler, report) => this.#send(scheduler, 'zoneReport', {
        toSelf: () => this.#host?.handleReport(instance, report),
        createBody: () => report
      })
    })
  }

  /** The scheduler while this router has the role. */
  get host (): SchedulerHost | undefined {
    return this.#host
  }

  start (): void {
    this.#links.update(this.#options.zone)
    this.#tick()
    this.#timer = setInterval(() => this.#tick(), TICK_MS)
  }

  /** Hands the role over and ends. */
  stop (): void {
    clearInterval(this.#timer)
    if (this.#election.isLeading) this.#sendHeartbeat(true)
    this.#runElection(this.#election.stop())
    this.#agent.stop()
    setImmediate(() => this.#links.close())
  }

  notifyChange (): void {
    this.#agent.notifyChange()
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
    this.#agent.mergeLedger(heartbeat.ledger)
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
    this.#checkPause()
    this.#agent.handleGrants(link.peer.instance, session, grants)
  }

  handleExchange (body: unknown, link: Link): void {
    const message = decodePeerMessage(body, this.#getDecoder(link))
    this.#host?.handlePeerMessage(link.peer.zone, link.peer.instance, message)
  }

  #tick (): void {
    const nowMs = performance.now()
    this.#checkPause()
    this.#lastTickAtMs = nowMs
    this.#links.update(this.#options.zone)
    this.#runElection(this.#election.tick(nowMs))
    this.#host?.tick(nowMs)
    this.#agent.tick(nowMs)
    if (this.#host && nowMs - this.#lastHeartbeatAtMs >= HEARTBEAT_MS) this.#sendHeartbeat(false)
    if (this.#host && nowMs - this.#lastProbeAtMs >= PROBE_INTERVAL_MS) this.#connectZones(nowMs)
  }

  /** After a pause the grants that were sent meanwhile belong to a session that the scheduler has ended. */
  #checkPause (): void {
    const nowMs = performance.now()
    if (nowMs - this.#lastTickAtMs <= PAUSE_MS) return
    this.#lastTickAtMs = nowMs
    this.#options.logger.warn('The process was paused; registering again.')
    this.#runElection(this.#election.tick(nowMs))
    this.#agent.register()
  }

  #runElection (effects: Iterable<ReturnType<SchedulerElection['tick']> extends Generator<infer E> ? E : never>): void {
    for (const effect of effects) {
      if (effect.type === 'lead') this.#startLeading(effect.term)
      else if (effect.type === 'resign') this.#stopLeading()
      else this.#agent.setScheduler(effect.instance)
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
        toSelf: () => this.#agent.handleGrants(instance, session, grants),
        createBody: names => encodeGrants(session, grants, names)
      }),
      sendPeerMessage: (peer, message) => this.#send(peer, 'x', { toSelf: () => {}, createBody: names => encodePeerMessage(message, names) }),
      replicate: ledger => this.#recordReplica(ledger)
    })
    this.#host.scheduler.setTargets(listTargets())
    this.#sendHeartbeat(false)
    const zones = this.#links.listZones().filter(other => other !== zone)
    this.#host.start({ routers: [...this.#election.listMembers(), instance], zones })
    this.#lastProbeAtMs = -Infinity
    this.#agent.setScheduler(instance)
  }

  #stopLeading (): void {
    this.#options.logger.info('This router is no longer the scheduler of its zone.')
    this.#host?.stop()
    this.#host = undefined
    this.#agent.clear()
  }

  #recordReplica (ledger: RouterReport['ledger']): void {
    this.#replica = ledger
    this.#agent.mergeLedger(ledger)
  }

  #sendHeartbeat (isLeaving: boolean): void {
    this.#lastHeartbeatAtMs = performance.now()
    const ledger = this.#replica
    this.#replica = []
    for (const instance of this.#links.listInstances(this.#options.zone)) this.#sendHeartbeatTo(instance, isLeaving, ledger)
  }

  #sendHeartbeatTo (instance: string, isLeaving: boolean, ledger: RouterReport['ledger']): void {
    this.#links.send(instance, 'h', names => encodeHeartbeat({ term: this.#election.term, isLeaving, ledger }, names))
  }

  /** Asks a router of each zone whose scheduler is not known or silent, in turn. */
  #connectZones (nowMs: number): void {
    this.#lastProbeAtMs = nowMs
    this.#probeCount++
    for (const zone of this.#links.listZones()) {
      if (zone === this.#options.zone || this.#host?.hasLivePeer(zone)) continue
      const instances = this.#links.listInstances(zone)
      void this.#connectZone(zone, instances[this.#probeCount % instances.length])
    }
  }

  async #connectZone (zone: string, instance: string): Promise<void> {
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
    return [this.#startedAt, this.#election.term, this.#election.scheduler ?? null]
  }

  #handleDown (instance: string): void {
    this.#election.removeMember(instance)
    this.#host?.removeRouter(instance)
  }

  #getDecoder (link: Link): NameDecoder {
    const decoder = this.#decoders.get(link) ?? new NameDecoder()
    this.#decoders.set(link, decoder)
    return decoder
  }

  #send (instance: string, type: string, message: { toSelf: () => void, createBody: Parameters<PeerLinks['send']>[2] }): boolean {
    if (instance !== this.#options.instance) return this.#links.send(instance, type, message.createBody)
    setImmediate(message.toSelf)
    return true
  }
}
