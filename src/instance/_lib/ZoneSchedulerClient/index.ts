import type { FleetAdmissionGate } from '../../../schedule/FleetAdmissionGate'
import type { GrantOperation } from '../../../schedule/GrantOperation'
import type { RouterBatch } from '../../../schedule/RouterBatch'
import type { RouterOperation } from '../../../schedule/RouterOperation'
import type { RouterReport } from '../../../schedule/RouterReport'

/** Changes are coalesced for this time after a message was sent. */
const COALESCE_MS = 20
/** Shorter while requests wait, because the coalescing time adds to their latency. */
const URGENT_COALESCE_MS = 2
const HEARTBEAT_INTERVAL_MS = 250

interface ZoneSchedulerClientOptions {
  gate: FleetAdmissionGate
  /** Returns false if the message could not be sent. */
  sendBatch: (scheduler: string, batch: RouterBatch) => boolean
  sendReport: (scheduler: string, report: RouterReport) => boolean
}

/** Connects a router's admission gate to the scheduler of its zone. */
export class ZoneSchedulerClient {
  readonly #options: ZoneSchedulerClientOptions
  /** This router's copy of the ledger, sent to a new scheduler. */
  readonly #ledger = new Map<string, RouterReport['ledger'][number]>()
  /** Costs of ended requests whose release could not be sent, summed by account and service. */
  readonly #unsentCosts = new Map<string, RouterReport['settled'][number]>()
  /** Grants in use by id; needed to record the cost of requests that end while no scheduler is known. */
  readonly #grants = new Map<number, { account: string, service: string }>()
  #scheduler?: string
  #session = 0
  #isRegistered = false
  #lastSentAtMs = -Infinity
  #timer?: NodeJS.Timeout
  #dueAtMs = Infinity

  constructor (options: ZoneSchedulerClientOptions) {
    this.#options = options
  }

  setScheduler (scheduler: string): void {
    this.#scheduler = scheduler
    this.register()
  }

  /** Ends the registration; grants are ignored until `setScheduler` is called again. */
  clearScheduler (): void {
    this.#scheduler = undefined
    this.#isRegistered = false
  }

  /** Starts a new session by sending a full report. */
  register (): void {
    if (this.#scheduler === undefined) return
    this.#recordUnsentCosts(this.#options.gate.takeOperations())
    const session = ++this.#session
    const report = { ...this.#options.gate.createReport(), session, settled: [...this.#unsentCosts.values()], ledger: [...this.#ledger.values()] }
    this.#isRegistered = this.#options.sendReport(this.#scheduler, report)
    if (this.#isRegistered) this.#unsentCosts.clear()
    this.#lastSentAtMs = performance.now()
  }

  handleGrants (scheduler: string, session: number, grants: readonly GrantOperation[]): void {
    if (scheduler !== this.#scheduler) return
    // The scheduler does not know this router or its session.
    if (session === 0) return this.register()
    if (session !== this.#session) return
    for (const grant of grants) {
      this.#grants.set(grant.id, grant)
      this.#options.gate.acceptGrant(grant)
    }
  }

  mergeLedger (entries: RouterReport['ledger']): void {
    for (const entry of entries) {
      const key = `${entry.service}/${entry.account}/${entry.zone}`
      const known = this.#ledger.get(key)
      const total = Math.max(entry.total, known?.total ?? 0)
      this.#ledger.set(key, { ...entry, total, lift: Math.max(entry.lift, known?.lift ?? 0) })
    }
  }

  /** Sends the first change in this event loop iteration, later ones within 20 ms, or 2 ms while requests wait. */
  notifyChange (): void {
    const nowMs = performance.now()
    const coalesceMs = this.#options.gate.countWaiting() > 0 ? URGENT_COALESCE_MS : COALESCE_MS
    const dueAtMs = Math.max(nowMs, this.#lastSentAtMs + coalesceMs)
    if (dueAtMs >= this.#dueAtMs) return
    clearTimeout(this.#timer)
    this.#dueAtMs = dueAtMs
    // A timer would add at least 1 ms.
    if (dueAtMs === nowMs) setImmediate(() => this.#flushDue())
    else this.#timer = setTimeout(() => this.#flush(), dueAtMs - nowMs)
  }

  tick (nowMs: number): void {
    if (this.#scheduler !== undefined && !this.#isRegistered) this.register()
    else if (nowMs - this.#lastSentAtMs >= HEARTBEAT_INTERVAL_MS) this.#flush()
  }

  stop (): void {
    clearTimeout(this.#timer)
    this.#dueAtMs = Infinity
  }

  #flushDue (): void {
    if (this.#dueAtMs !== Infinity) this.#flush()
  }

  #flush (): void {
    clearTimeout(this.#timer)
    this.#dueAtMs = Infinity
    if (this.#scheduler === undefined || !this.#isRegistered) return
    const { gate, sendBatch } = this.#options
    const operations = gate.takeOperations()
    const isSent = sendBatch(this.#scheduler, { session: this.#session, lastGrantId: gate.lastGrantId, operations })
    this.#lastSentAtMs = performance.now()
    if (isSent) return this.#removeEndedGrants(operations)
    this.#isRegistered = false
    this.#recordUnsentCosts(operations)
  }

  /** Keeps, for the next report, the costs of requests whose release could not be sent. */
  #recordUnsentCosts (operations: RouterOperation[]): void {
    for (const operation of operations) {
      if (operation.type !== 'release') continue
      const grant = this.#grants.get(operation.id)
      if (!grant) continue
      const { account, service } = grant
      const key = `${account}/${service}`
      this.#unsentCosts.set(key, { account, service, cost: operation.cost + (this.#unsentCosts.get(key)?.cost ?? 0) })
    }
    this.#removeEndedGrants(operations)
  }

  #removeEndedGrants (operations: RouterOperation[]): void {
    for (const operation of operations) {
      if (operation.type === 'release' || operation.type === 'decline') this.#grants.delete(operation.id)
    }
  }
}
