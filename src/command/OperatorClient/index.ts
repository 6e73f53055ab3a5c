import { setTimeout as wait } from 'node:timers/promises'
import { Agent } from 'undici'
import { z } from 'zod'
import { AppError } from '../../contract/AppError'
import { ErrorKind } from '../../contract/ErrorKind'
import { Outcome } from '../../contract/Outcome'

const CONNECT_TIMEOUT_MS = 1_000
const RESPONSE_TIMEOUT_MS = 7_000
const RETRY_DELAY_MS = 200
const DEFAULT_TIMEOUT_MS = 15_000
/** Errors after which the request is retried on the next control instance. */
const FAILOVER_ERROR_KINDS: ReadonlySet<ErrorKind> = new Set(['not-leader', 'control-unavailable', 'shutting-down'])

const ErrorBody = z.object({ error: z.object({ kind: ErrorKind, message: z.string(), outcome: Outcome, details: z.record(z.string(), z.unknown()).optional() }) })

interface OperatorClientOptions {
  /** Origins of the control instances. */
  controls: readonly string[]
  token?: string
  /** Time during which failed requests are retried. */
  timeoutMs?: number
}

interface OperatorCall {
  method: 'GET' | 'POST'
  path: string
  query?: Record<string, string | number | undefined>
  body?: unknown
  /** Time that the control instance may wait before it responds; extends the response time-out. */
  waitMs?: number
}

/**
 * @name OperatorClient
 * @category Command
 * @summary Client of the operator API that fails over between control instances.
 *
 * @description
 * Tries the instances in turn until one serves the request or the time-out expires. A change may be sent more than once
 * after a lost response. The body of each change must therefore carry a change id, which makes resends idempotent.
 *
 * @param options - Control instances, token and time-out in milliseconds.
 *
 * @example
 * const client = new OperatorClient({ controls: ['http://127.0.0.1:8090'], token })
 * const status = await client.request({ method: 'GET', path: '/v1/status' })
 */
export class OperatorClient {
  readonly #options: OperatorClientOptions
  readonly #agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } })
  #index = 0

  constructor (options: OperatorClientOptions) {
    this.#options = options
  }

  /**
   * @throws AppError of the kind that the control instance returned, or `control-unavailable` if no instance served the
   * request. The outcome of the latter is `unknown` for a POST request that a control instance may have run.
   */
  async request (call: OperatorCall): Promise<unknown> {
    const { controls, timeoutMs = DEFAULT_TIMEOUT_MS } = this.#options
    const deadlineAtMs = performance.now() + timeoutMs
    let lastError = new AppError('control-unavailable', 'No control instance is given.')
    let mayHaveRun = false
    do {
      for (let tried = 0; tried < controls.length; tried++) {
        const reply = await this.#tryRequest(controls[this.#index], call)
        if (!(reply instanceof AppError)) return reply.body
        if (!FAILOVER_ERROR_KINDS.has(reply.kind)) throw reply
        lastError = reply
        mayHaveRun ||= reply.outcome === 'unknown'
        this.#index = (this.#index + 1) % controls.length
      }
      await wait(RETRY_DELAY_MS)
    } while (performance.now() < deadlineAtMs)
    const outcome = mayHaveRun && call.method === 'POST' ? 'unknown' : 'not-run'
    throw new AppError('control-unavailable', `No control instance served the request within the time-out: ${lastError.message}`, { cause: lastError, outcome })
  }

  close (): Promise<void> {
    return this.#agent.destroy()
  }

  async #tryRequest (origin: string, call: OperatorCall): Promise<{ body: unknown } | AppError> {
    const { token } = this.#options
    const headers: Record<string, string> = token === undefined ? {} : { authorization: `Bearer ${token}` }
    const responseTimeoutMs = RESPONSE_TIMEOUT_MS + (call.waitMs ?? 0)
    try {
      const response = await this.#agent.request({
        origin,
        method: call.method,
        path: call.path + formatQuery(call),
        headers: call.body === undefined ? headers : { ...headers, 'content-type': 'application/json' },
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
        headersTimeout: responseTimeoutMs,
        bodyTimeout: responseTimeoutMs
      })
      const text = await response.body.text()
      return response.statusCode < 300 ? { body: JSON.parse(text) } : parseError(text, origin)
    } catch (cause) {
      const isSent = !['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND'].includes((cause as { code?: string }).code ?? '')
      return new AppError('control-unavailable', `${origin} did not respond.`, { cause, outcome: isSent ? 'unknown' : 'not-run' })
    }
  }
}

function formatQuery (call: OperatorCall): string {
  const query = new URLSearchParams()
  for (const [name, value] of Object.entries({ ...call.query, waitMs: call.waitMs })) {
    if (value !== undefined) query.set(name, String(value))
  }
  return query.size > 0 ? `?${query.toString()}` : ''
}

function parseError (text: string, origin: string): AppError {
  try {
    const { kind, message, outcome, details } = ErrorBody.parse(JSON.parse(text)).error
    return new AppError(kind, message, { outcome, details })
  } catch (cause) {
    return new AppError('control-unavailable', `${origin} does not seem to be a control instance: its error response has an unknown format.`, { cause })
  }
}
