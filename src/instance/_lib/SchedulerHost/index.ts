import type { GrantOperation } from '../../../schedule/GrantOperation'
import type { MetricsSink } from '../../../schedule/MetricsSink'
import type { PeerMessage } from '../../../schedule/PeerMessage'
import type { PeerOperation } from '../../../schedule/PeerOperation'
import type { RouterBatch } from '../../../schedule/RouterBatch'
import type { RouterReport } from '../../../schedule/RouterReport'
import type { SchedulerEffect } from '../../../schedule/SchedulerEffect'
import { ZoneScheduler } from '../../../schedule/ZoneScheduler'

interface SchedulerHostOptions {
  zone: string
  term: number
  getWeight: (account: string) => number
  isTargetOpen: (target: string) => boolean
  metrics: MetricsSink
  /** Monotonic clock in milliseconds. */
  getNowMs: () => number
  /** Runs a function after the current event loop iteration. */
  scheduleFlush: (run: () => void) => void
  sendGrants: (router: string, session: number, grants: GrantOperation[]) => void
  sendPeerMessage: (instance: string, message: PeerMessage) => void
  replicate: (ledger: RouterReport['ledger']) => void
}

/** Runs the zone scheduler while this router is elected, and batches its messages per event loop iteration. */
export class SchedulerHost {
  readonly scheduler: ZoneScheduler
  readonly #options: SchedulerHostOptions
  readonly #grants = new Map<string, { session: number, grants: GrantOperation[] }>()
  readonly #peerOperations = new Map<string, PeerOperation[]>()
  readonly #peerInstances = new Map<string, string>()
  #isFlushScheduled = false
  #isStopped = false

  constructor (options: SchedulerHostOptions) {
    this.#options = options
    this.scheduler = new ZoneScheduler(options)
  }

  start (expected: { routers: string[], zones: string[] }): void {
    this.#runEffects(this.scheduler.start(this.#options.getNowMs(), expected))
  }

  handleReport (router: string, report: RouterReport): void {
    this.#runEffects(this.scheduler.handleRegister(this.#options.getNowMs(), router, report))
  }

  handleBatch (router: string, batch: RouterBatch): void {
    const isKnown = this.#runEffects(this.scheduler.handleBatch(this.#options.getNowMs(), router, batch))
    // Session 0 makes a router whose session is not registered here send a full report.
    if (!isKnown) this.#options.sendGrants(router, 0, [])
  }

  handlePeerMessage (zone: string, instance: string, message: PeerMessage): void {
    this.#peerInstances.set(zone, instance)
    this.#runEffects(this.scheduler.handlePeerMessage(this.#options.getNowMs(), zone, instance, message))
  }

  removeRouter (router: string): void {
    this.#runEffects(this.scheduler.removeRouter(this.#options.getNowMs(), router))
  }

  /** Introduces this scheduler to the scheduler of another zone. */
  connectPeer (zone: string, instance: string): void {
    this.#peerInstances.set(zone, instance)
    this.#addPeerOperation(zone)
  }

  hasLivePeer (zone: string): boolean {
    return this.scheduler.hasLivePeer(zone)
  }

  tick (nowMs: number): void {
    this.#runEffects(this.scheduler.tick(nowMs))
    for (const [service, pool] of this.scheduler.listPools()) {
      this.#options.metrics.setGauge(`schedule_backlogged_accounts{service="${service}"}`, pool.backloggedCount)
      this.#options.metrics.setGauge(`schedule_free_slots{service="${service}"}`, pool.targets.countFreeSlots())
    }
  }

  stop (): void {
    this.#isStopped = true
  }

  /** Executes the effects of a scheduler step in order and returns the step's result. */
  #runEffects<T> (effects: Generator<SchedulerEffect, T>): T {
    for (;;) {
      const next = effects.next()
      if (next.done) return next.value
      this.#handleEffect(next.value)
    }
  }

  #handleEffect (effect: SchedulerEffect): void {
    if (effect.type === 'grant') this.#addGrant(effect)
    else if (effect.type === 'peer') this.#addPeerOperation(effect.zone, effect.operation)
    else this.#options.replicate(effect.ledger)
  }

  #addGrant (effect: Extract<SchedulerEffect, { type: 'grant' }>): void {
    const batch = this.#grants.get(effect.router)
    if (batch?.session === effect.session) batch.grants.push(effect.grant)
    else this.#grants.set(effect.router, { session: effect.session, grants: [effect.grant] })
    this.#options.metrics.addCount('schedule_grants')
    this.#scheduleFlush()
  }

  #addPeerOperation (zone: string, operation?: PeerOperation): void {
    const operations = this.#peerOperations.get(zone) ?? []
    this.#peerOperations.set(zone, operations)
    if (operation) operations.push(operation)
    if (operation?.type === 'lend') this.#options.metrics.addCount('schedule_lends')
    this.#scheduleFlush()
  }

  #scheduleFlush (): void {
    if (this.#isFlushScheduled) return
    this.#isFlushScheduled = true
    this.#options.scheduleFlush(() => this.#flush())
  }

  #flush (): void {
    this.#isFlushScheduled = false
    if (this.#isStopped) return
    const [grants, peers] = [[...this.#grants], [...this.#peerOperations]]
    this.#grants.clear()
    this.#peerOperations.clear()
    for (const [router, batch] of grants) this.#options.sendGrants(router, batch.session, batch.grants)
    for (const [zone, operations] of peers) {
      const instance = this.#peerInstances.get(zone)
      if (instance !== undefined) this.#options.sendPeerMessage(instance, { ...this.scheduler.getPeerMessageHeader(zone), operations })
    }
  }
}
