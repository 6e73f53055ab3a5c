import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import type { ComponentLogger } from '../../../telemetry/ComponentLogger'

interface GracefulShutdownOptions {
  /** Time between the start of the shutdown, from which the readiness check fails, and the earliest end. */
  lameDuckMs: number
  /** Time between the start of the shutdown and the refusal of new calls; at most `lameDuckMs`, which is the default. */
  refuseAfterMs?: number
  /** Time limit of the whole shutdown. */
  stopTimeoutMs: number
  /** Number of running calls with an idempotency key, including those whose callers disconnected. */
  countKeyedCalls: () => number
  /** Reads the id under which a call is logged. */
  readCallId: (request: IncomingMessage) => string
  logger: ComponentLogger
  /** Refuses the calls that no target has taken, and returns their number. Called repeatedly in the last part of the time limit. */
  refuseUnsentCalls?: () => number
  /** Ends the running calls with their final responses. Called shortly before the time limit. */
  interruptCalls: () => void
}

const POLL_INTERVAL_MS = 20
/** Part of the time limit in which the final responses of interrupted calls are written. */
const RESPONSE_MARGIN_MS = 300
/** Part of the time limit after which a call that was not sent yet has too little time left for its answer. */
const LAST_SEND_SHARE = 0.75
/** Bounds the log line that lists the interrupted calls. */
const MAX_LOGGED_CALLS = 50

/**
 * Shuts down the HTTP server for callers. The router keeps serving during the lame-duck period; its responses close
 * their connections, so that callers reconnect to other routers. Afterwards it still accepts connections while calls run,
 * and refuses new calls: a load balancer may send callers to unready routers when few are ready. In the last part of the
 * time limit, requests that no target has taken are refused. Requests that are still running shortly before the time limit
 * are interrupted: each gets a final response that says whether it may have run. Connections whose response is not written
 * at the limit are closed.
 */
export class GracefulShutdown {
  readonly #options: GracefulShutdownOptions
  readonly #active = new Map<ServerResponse, IncomingMessage>()
  #server?: Server
  #startedAtMs = Infinity

  constructor (options: GracefulShutdownOptions) {
    this.#options = options
  }

  get isShuttingDown (): boolean {
    return this.#startedAtMs < Infinity
  }

  /** Whether new calls must be refused, because too little of the time limit is left for them. */
  get isRefusing (): boolean {
    const { refuseAfterMs, lameDuckMs } = this.#options
    return performance.now() - this.#startedAtMs >= (refuseAfterMs ?? lameDuckMs)
  }

  /** Tracks the requests of a server from now on. */
  watch (server: Server): void {
    this.#server = server
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
      this.#active.set(response, request)
      response.once('close', () => this.#active.delete(response))
      if (this.isShuttingDown) response.setHeader('connection', 'close')
    })
  }

  async close (): Promise<void> {
    const { lameDuckMs, stopTimeoutMs, logger, interruptCalls, refuseUnsentCalls = () => 0 } = this.#options
    const startedAtMs = performance.now()
    this.#startedAtMs = startedAtMs
    const deadlineAtMs = startedAtMs + stopTimeoutMs
    logger.info('The drain of callers begins.', { running: this.#countRunning(), limitMs: stopTimeoutMs })
    for (const response of this.#active.keys()) if (!response.headersSent) response.setHeader('connection', 'close')
    await wait(Math.min(lameDuckMs, stopTimeoutMs))
    const interruptAtMs = deadlineAtMs - RESPONSE_MARGIN_MS
    await this.#waitForCalls(Math.min(startedAtMs + LAST_SEND_SHARE * stopTimeoutMs, interruptAtMs))
    let refused = 0
    await this.#waitForCalls(interruptAtMs, () => { refused += refuseUnsentCalls() })
    const interrupted = { interrupted: this.#countRunning(), requestIds: this.#listCallIds() }
    interruptCalls()
    this.#server?.close()
    await this.#waitForCalls(deadlineAtMs)
    logger.info('The drain of callers has ended.', { durationMs: Math.round(performance.now() - startedAtMs), refused, ...interrupted, cut: this.#countRunning() })
    this.#server?.closeAllConnections()
  }

  async #waitForCalls (deadlineAtMs: number, onPoll: () => void = () => {}): Promise<void> {
    while (this.#countRunning() > 0 && performance.now() < deadlineAtMs) {
      onPoll()
      this.#server?.closeIdleConnections()
      await wait(POLL_INTERVAL_MS)
    }
  }

  #listCallIds (): string[] {
    return [...this.#active.values()].slice(0, MAX_LOGGED_CALLS).map(this.#options.readCallId)
  }

  #countRunning (): number {
    return this.#active.size + this.#options.countKeyedCalls()
  }
}
