import type { ComponentLogger } from '../../telemetry/ComponentLogger'

interface Refusal {
  requestId: string
  account: string
  /** Time that the request had waited to be read, in milliseconds. */
  readMs: number
}

const INTERVAL_MS = 500
const MAX_LISTED_REQUESTS = 50
const MAX_LISTED_ACCOUNTS = 5

/**
 * @name RefusalLog
 * @category Gateway
 * @summary Logs the requests that an overloaded router refuses, in one line for each half second.
 *
 * @description
 * A line for each refusal would cost more processor time than the refusal itself, and would be left out by the rate limit.
 *
 * @param logger - Logger of the router.
 *
 * @example
 * refusals.add({ requestId: '9c41', account: 'a', readMs: 310 })
 */
export class RefusalLog {
  readonly #logger: ComponentLogger
  #count = 0
  #longestReadMs = 0
  #requestIds: string[] = []
  readonly #accounts = new Map<string, number>()
  #timer: NodeJS.Timeout | undefined

  constructor (logger: ComponentLogger) {
    this.#logger = logger
  }

  add ({ requestId, account, readMs }: Refusal): void {
    this.#timer ??= setTimeout(() => this.flush(), INTERVAL_MS)
    this.#count++
    this.#longestReadMs = Math.max(this.#longestReadMs, readMs)
    this.#accounts.set(account, (this.#accounts.get(account) ?? 0) + 1)
    if (this.#requestIds.length < MAX_LISTED_REQUESTS) this.#requestIds.push(requestId)
  }

  /** Writes the line of the refusals since the last one, if there were any. */
  flush (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    if (this.#count === 0) return
    const accounts = [...this.#accounts].sort((a, b) => b[1] - a[1]).slice(0, MAX_LISTED_ACCOUNTS)
    this.#logger.warn('Requests were refused as not run, because this router is overloaded.', { refused: this.#count, longestReadMs: Math.round(this.#longestReadMs), accounts, requestIds: this.#requestIds })
    this.#count = 0
    this.#longestReadMs = 0
    this.#requestIds = []
    this.#accounts.clear()
  }
}
