import { randomUUID } from 'node:crypto'
import { AppError } from '../../../contract/AppError'
import type { DrainReport } from '../../../contract/DrainReport'
import { WaitForRecordRequest } from '../../../contract/WaitForRecordRequest'
import { RenewLeaseRequest } from '../../../contract/RenewLeaseRequest'
import type { RenewLeaseReply } from '../../../contract/RenewLeaseReply'
import type { IdempotencyTable } from '../../../idempotency/IdempotencyTable'
import { LeaseGrantor } from '../../../lease/LeaseGrantor'
import type { MessageHandler } from '../../../link/MessageHandler'
import { DRIFT_MARGIN_MS } from '../DRIFT_MARGIN_MS'
import { SESSION_LEASE_MS } from '../SESSION_LEASE_MS'

/** The replica of the log group in this process; both fail with `not-leader` unless it leads. */
interface LocalLog {
  proposeHere: (command: unknown) => Promise<unknown>
  confirmReadHere: () => Promise<unknown>
  waitForCommit: (afterOffset: number, waitMs: number) => Promise<void>
  readonly commitOffset: number
}

interface RouterReport {
  instance: string
  closed: Map<string, number>
}

const TICK_MS = 500

/**
 * The part of a control process that ends idempotency records of dead routers. The process that leads the log writes its
 * id to the log before it counts leases, so that a former leader that returns can't expire a session by an old count.
 */
export class IdempotencyGroup {
  readonly #table: IdempotencyTable
  readonly #getLog: () => LocalLog
  readonly #grantor = new LeaseGrantor({ durationMs: SESSION_LEASE_MS, driftMarginMs: DRIFT_MARGIN_MS })
  readonly #id = randomUUID()
  readonly #reports = new Map<string, RouterReport>()
  /** Sessions whose end is proposed; a renewal that arrives meanwhile must not be granted. */
  readonly #expiring = new Set<string>()
  #leadsSinceMs = Infinity
  #timer?: NodeJS.Timeout
  #isTicking = false

  constructor (table: IdempotencyTable, getLog: () => LocalLog) {
    this.#table = table
    this.#getLog = getLog
  }

  get handlers (): Map<string, MessageHandler> {
    return new Map<string, MessageHandler>([
      ['renewLease', (body, link) => this.#handleRenewal(RenewLeaseRequest.parse(body), link.peer.instance)],
      ['waitForRecord', body => this.#waitForRecord(WaitForRecordRequest.parse(body))],
      ['fetchDrainReport', body => this.#createDrainReport(String(body))]
    ])
  }

  start (): void {
    this.#timer = setInterval(() => this.#tick(), TICK_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  /** Appends a router's command with the time of this process. */
  propose (command: unknown): Promise<unknown> {
    return this.#getLog().proposeHere({ ...(command as object), atMs: Date.now() })
  }

  async #tick (): Promise<void> {
    if (this.#isTicking) return
    this.#isTicking = true
    try {
      await this.#confirmLead()
      await this.#expireSessions()
    } catch {
      this.#clearAll()
    } finally {
      this.#isTicking = false
    }
  }

  get #isLeading (): boolean {
    return this.#table.grantor === this.#id && this.#leadsSinceMs !== Infinity
  }

  /** Fails unless this process leads the log and counts the leases. */
  async #confirmLead (): Promise<void> {
    await this.#getLog().confirmReadHere()
    if (this.#isLeading) return
    this.#clearAll()
    await this.propose({ type: 'lead', grantor: this.#id })
    this.#leadsSinceMs = performance.now()
  }

  async #expireSessions (): Promise<void> {
    const nowMs = performance.now()
    for (const session of this.#table.listRunningSessions()) this.#grantor.register(session, nowMs)
    for (const session of this.#grantor.listExpired(nowMs)) {
      this.#expiring.add(session)
      await this.propose({ type: 'expire', grantor: this.#id, session })
      this.#grantor.remove(session)
      this.#reports.delete(session)
      this.#expiring.delete(session)
    }
  }

  async #handleRenewal ({ session, closed }: RenewLeaseRequest, instance: string): Promise<RenewLeaseReply> {
    await this.#getLog().confirmReadHere()
    if (!this.#isLeading) throw new AppError('not-leader', 'This replica does not count leases yet.')
    if (this.#table.hasEnded(session) || this.#expiring.has(session)) return { status: 'session-ended' }
    this.#grantor.renew(session, performance.now())
    this.#reports.set(session, { instance, closed: new Map(closed.map(({ target, running }) => [target, running])) })
    return { status: 'granted' }
  }

  /** An applied record is committed, so any replica may answer. */
  async #waitForRecord ({ id, waitMs }: WaitForRecordRequest): Promise<void> {
    const endsAtMs = performance.now() + waitMs
    for (let remainingMs = waitMs; remainingMs > 0; remainingMs = endsAtMs - performance.now()) {
      const record = this.#table.find(id)
      if (!record || record.response) return
      const log = this.#getLog()
      await log.waitForCommit(log.commitOffset, Math.ceil(remainingMs))
    }
  }

  async #createDrainReport (target: string): Promise<DrainReport> {
    await this.#confirmLead()
    const waitingFor = this.#grantor.listHolders()
      .map(session => this.#reports.get(session))
      .filter(report => report?.closed.get(target) !== 0)
      .map(report => report?.instance ?? 'unknown')
    const isComplete = performance.now() - this.#leadsSinceMs >= SESSION_LEASE_MS + DRIFT_MARGIN_MS
    return { isDrained: isComplete && waitingFor.length === 0, waitingFor }
  }

  #clearAll (): void {
    this.#grantor.clear()
    this.#reports.clear()
    this.#expiring.clear()
    this.#leadsSinceMs = Infinity
  }
}
