import { randomUUID } from 'node:crypto'
import { AppError } from '../../../contract/AppError'
import type { DrainReport } from '../../../contract/DrainReport'
import { WaitForRecordRequest } from '../../../contract/WaitForRecordRequest'
import { RenewLeaseRequest } from '../../../contract/RenewLeaseRequest'
import type { RenewLeaseReply } from '../../../contract/RenewLeaseReply'
import type { IdempotencyTable } from '../../../idempotency/IdempotencyTable'
import { LeaseGrantor } from '../../../lease/LeaseGrantor'
import type { MessageHandler } from '../../../link/MessageHandler'
import { CLOCK_DRIFT_MARGIN_MS } from '../CLOCK_DRIFT_MARGIN_MS'
import { SESSION_LEASE_MS } from '../SESSION_LEASE_MS'

/** The replica of the log group in this process. */
interface LocalLog {
  /** Fails with `not-leader` unless this replica leads. */
  proposeHere: (command: unknown) => Promise<unknown>
  /** Fails with `not-leader` unless this replica leads. */
  confirmReadHere: () => Promise<unknown>
  waitForCommit: (afterOffset: number, waitMs: number) => Promise<void>
  readonly commitOffset: number
}

interface ClosedTargetsReport {
  instance: string
  /** Requests that still run on each target that gets no new work from the router. */
  closed: Map<string, number>
}

const TICK_INTERVAL_MS = 500

/**
 * Grants session leases to routers, and ends the idempotency records of routers whose lease has expired. The leader of
 * the log writes its id to the log before it grants leases, so that a former leader that returns can't expire a session
 * by its outdated lease times.
 */
export class IdempotencyGroup {
  readonly #table: IdempotencyTable
  readonly #getLog: () => LocalLog
  readonly #grantor = new LeaseGrantor({ durationMs: SESSION_LEASE_MS, driftMarginMs: CLOCK_DRIFT_MARGIN_MS })
  readonly #id = randomUUID()
  readonly #reports = new Map<string, ClosedTargetsReport>()
  /** Sessions whose expiry is proposed but not committed yet; their renewals must not be granted. */
  readonly #expiring = new Set<string>()
  /** Infinity while this process is not known to lead the log. */
  #leadingSinceMs = Infinity
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
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  /** Proposes a router's command with the wall-clock time of this process. */
  propose (command: unknown): Promise<unknown> {
    return this.#getLog().proposeHere({ ...(command as object), atMs: Date.now() })
  }

  async #tick (): Promise<void> {
    if (this.#isTicking) return
    this.#isTicking = true
    try {
      await this.#confirmLeadership()
      await this.#expireSessions()
    } catch {
      this.#clearLeases()
    } finally {
      this.#isTicking = false
    }
  }

  get #isGrantingLeases (): boolean {
    return this.#table.grantor === this.#id && this.#leadingSinceMs !== Infinity
  }

  /** Starts to grant leases if this process has become the leader. Fails if it does not lead the log. */
  async #confirmLeadership (): Promise<void> {
    await this.#getLog().confirmReadHere()
    if (this.#isGrantingLeases) return
    this.#clearLeases()
    await this.propose({ type: 'lead', grantor: this.#id })
    this.#leadingSinceMs = performance.now()
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
    if (!this.#isGrantingLeases) throw new AppError('not-leader', 'This replica does not grant leases yet.')
    if (this.#table.hasEnded(session) || this.#expiring.has(session)) return { status: 'session-ended' }
    this.#grantor.renew(session, performance.now())
    this.#reports.set(session, { instance, closed: new Map(closed.map(({ target, running }) => [target, running])) })
    return { status: 'granted' }
  }

  /** Waits at most `waitMs` for the end of a call. Any replica may answer, because an applied record is committed. */
  async #waitForRecord ({ id, waitMs }: WaitForRecordRequest): Promise<void> {
    const deadlineAtMs = performance.now() + waitMs
    for (let remainingMs = waitMs; remainingMs > 0; remainingMs = deadlineAtMs - performance.now()) {
      const record = this.#table.find(id)
      if (!record || record.response) return
      const log = this.#getLog()
      await log.waitForCommit(log.commitOffset, Math.ceil(remainingMs))
    }
  }

  async #createDrainReport (target: string): Promise<DrainReport> {
    await this.#confirmLeadership()
    const waitingFor = this.#grantor.listHolders()
      .map(session => this.#reports.get(session))
      .filter(report => report?.closed.get(target) !== 0)
      .map(report => report?.instance ?? 'unknown')
    const isEveryRouterKnown = performance.now() - this.#leadingSinceMs >= SESSION_LEASE_MS + CLOCK_DRIFT_MARGIN_MS
    return { isDrained: isEveryRouterKnown && waitingFor.length === 0, waitingFor }
  }

  #clearLeases (): void {
    this.#grantor.clear()
    this.#reports.clear()
    this.#expiring.clear()
    this.#leadingSinceMs = Infinity
  }
}
