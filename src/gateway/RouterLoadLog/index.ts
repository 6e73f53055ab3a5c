import type { ComponentLogger } from '../../telemetry/ComponentLogger'

interface RouterLoadLogOptions {
  logger: ComponentLogger
  /** Milliseconds of a monotonic clock. */
  now: () => number
  /** Number of iterations of the event loop so far. */
  countIterations: () => number
  /** Total time that the event loop has waited for events, in milliseconds. */
  getIdleMs: () => number
}

interface ObservedCall {
  account: string
  isAdmitted: boolean
  /** Time that the request had waited to be read, in milliseconds. */
  readMs: number
}

interface Sums {
  admitted: number
  refused: number
  readMs: number
}

interface Period {
  startedMs: number
  iterations: number
  idleMs: number
  connections: number
  calls: Sums
  accounts: Map<string, Sums>
}

const INTERVAL_MS = 1_000
/** Intervals with a lower utilization of the event loop are not logged, unless requests were refused in them. */
const BUSY_UTILIZATION = 0.6
const MAX_LISTED_ACCOUNTS = 3

/**
 * @name RouterLoadLog
 * @category Gateway
 * @summary Logs once a second what a busy router accepted and refused, for which accounts, and how its event loop did.
 *
 * @description
 * Shows whether a router that has too little processor time still serves what it can: calls that were admitted and
 * refused, how long they had waited to be read, accepted connections and iterations of the event loop. A router with
 * processor time to spare logs nothing.
 *
 * @param options - Logger, clock, and figures of the event loop.
 *
 * @example
 * loadLog.addConnection()
 * loadLog.add({ account: 'a', isAdmitted: false, readMs: 310 })
 */
export class RouterLoadLog {
  readonly #options: RouterLoadLogOptions
  #period: Period | undefined

  constructor (options: RouterLoadLogOptions) {
    this.#options = options
  }

  addConnection (): void {
    this.#getPeriod().connections++
  }

  add ({ account, isAdmitted, readMs }: ObservedCall): void {
    const { calls, accounts } = this.#getPeriod()
    let sums = accounts.get(account)
    if (!sums) accounts.set(account, sums = createSums())
    for (const sum of [calls, sums]) {
      sum.readMs += readMs
      if (isAdmitted) sum.admitted++
      else sum.refused++
    }
  }

  /** The period that runs. One that has lasted long enough is logged first. */
  #getPeriod (): Period {
    const nowMs = this.#options.now()
    if (this.#period && nowMs - this.#period.startedMs >= INTERVAL_MS) this.#logPeriod(this.#period, nowMs)
    this.#period ??= { startedMs: nowMs, iterations: this.#options.countIterations(), idleMs: this.#options.getIdleMs(), connections: 0, calls: createSums(), accounts: new Map() }
    return this.#period
  }

  #logPeriod ({ startedMs, iterations, idleMs, connections, calls, accounts }: Period, nowMs: number): void {
    this.#period = undefined
    const intervalMs = nowMs - startedMs
    const utilization = 1 - (this.#options.getIdleMs() - idleMs) / intervalMs
    if (utilization < BUSY_UTILIZATION && calls.refused === 0) return
    const largest = [...accounts].sort(([, a], [, b]) => countCalls(b) - countCalls(a)).slice(0, MAX_LISTED_ACCOUNTS)
    this.#options.logger.warn('The router was busy.', {
      intervalMs: Math.round(intervalMs),
      utilization: Number(utilization.toFixed(2)),
      iterations: this.#options.countIterations() - iterations,
      connections,
      admitted: calls.admitted,
      refused: calls.refused,
      meanReadMs: Math.round(calls.readMs / Math.max(1, countCalls(calls))),
      accounts: largest.map(([account, { admitted, refused }]) => ({ account, admitted, refused }))
    })
  }
}

function createSums (): Sums {
  return { admitted: 0, refused: 0, readMs: 0 }
}

function countCalls ({ admitted, refused }: Sums): number {
  return admitted + refused
}
