import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'
import { checkCredentials } from '../../clientAccount/checkCredentials'
import type { SettingsView } from '../../configuration/SettingsView'
import { AppError } from '../../contract/AppError'
import type { ClientAccount } from '../../contract/ClientAccount'
import type { Service } from '../../contract/Service'
import type { ResponseRelay } from '../../target/ResponseRelay'
import { selectHeaders } from '../../target/selectHeaders'
import type { TargetCall } from '../../target/TargetCall'
import type { RequestObservation } from '../../telemetry/RequestObservation'
import type { RunningCalls } from '../_lib/RunningCalls'
import type { KeyedCallRunner } from '../KeyedCallRunner'
import { parseJsonBody } from '../parseJsonBody'
import { readBody } from '../readBody'

const CompletionFields = z.object({ model: z.string(), max_tokens: z.number().positive().optional() })
const MAX_KEY_LENGTH = 200
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])

interface CallHandlerOptions {
  view: SettingsView
  relay: ResponseRelay
  keyedCalls: KeyedCallRunner
  runningCalls: RunningCalls
  maxBodyBytes: number
}

interface Exchange {
  request: IncomingMessage
  response: ServerResponse
  observation: RequestObservation
  /** Aborts when the caller disconnects or the router interrupts the call. */
  signal: AbortSignal
}

interface Call {
  account: ClientAccount & { name: string }
  service: string
  path: string
  body: Buffer
  kind: Service['kind']
}

/**
 * @name CallHandler
 * @category Instance
 * @summary Handles a caller's HTTP request from its arrival to the end of the response.
 *
 * @param options - Settings, relay of responses, runner of calls with an idempotency key, running calls, size limit of the body.
 *
 * @example
 * await handler.handleCompletion(request, response, observation)
 */
export class CallHandler {
  readonly #options: CallHandlerOptions

  constructor (options: CallHandlerOptions) {
    this.#options = options
  }

  handleCompletion (request: IncomingMessage, response: ServerResponse, observation: RequestObservation): Promise<void> {
    return this.#options.runningCalls.run(response, async signal => {
      const account = checkCredentials(request.headers.authorization, this.#options.view)
      const body = await this.#readBody(request, signal)
      const fields = CompletionFields.safeParse(parseJsonBody(body))
      if (!fields.success) throw new AppError('bad-request', 'The body needs a string `model`, and `max_tokens` must be a positive number if it is present.')
      await this.#runCall({ request, response, observation, signal }, { account, service: fields.data.model, path: request.url ?? '/', body, kind: 'completion' })
    })
  }

  handleService (request: IncomingMessage, response: ServerResponse, observation: RequestObservation): Promise<void> {
    return this.#options.runningCalls.run(response, async signal => {
      const account = checkCredentials(request.headers.authorization, this.#options.view)
      const body = await this.#readBody(request, signal)
      const match = /^\/services\/([^/?]+)(\/?.*)$/.exec(request.url ?? '')
      if (!match) throw new AppError('not-found', 'No such path.')
      await this.#runCall({ request, response, observation, signal }, { account, service: match[1], path: match[2] || '/', body, kind: 'http' })
    })
  }

  /** Refuses a call whose body was completed after the router has begun to refuse calls. */
  async #readBody (request: IncomingMessage, signal: AbortSignal): Promise<Buffer> {
    const { runningCalls, maxBodyBytes } = this.#options
    const body = await runningCalls.resolveUnlessInterrupted(readBody(request, { maxBytes: maxBodyBytes }), signal)
    runningCalls.assertAccepting()
    return body
  }

  async #runCall ({ request, response, observation, signal }: Exchange, call: Call): Promise<void> {
    const service = this.#findService(call)
    observation.setCall({ account: call.account.name, service: call.service })
    const targetCall = createTargetCall(request, { call, service, signal, observation })
    const key = targetCall.isIdempotent ? undefined : parseIdempotencyKey(request.headers['idempotency-key'])
    if (key === undefined) await this.#options.relay.run(targetCall, response)
    else await this.#options.keyedCalls.run(targetCall, key, response)
  }

  #findService (call: Call): Service {
    const service = this.#options.view.getService(call.service)
    // Completions count as idempotent, so a plain HTTP service that is called as a completion could run the call twice.
    const isKindMismatch = call.kind === 'completion' && service?.kind !== 'completion'
    if (!service || isKindMismatch) throw new AppError('unknown-service', `There is no service ${call.service} for this call.`)
    if (call.account.services.includes('*') || call.account.services.includes(call.service)) return service
    throw new AppError('forbidden', `The account may not call ${call.service}.`)
  }
}

function parseIdempotencyKey (header: string | string[] | undefined): string | undefined {
  if (header === undefined) return undefined
  if (typeof header === 'string' && header.length > 0 && header.length <= MAX_KEY_LENGTH) return header
  throw new AppError('bad-request', `The idempotency-key header must have 1 to ${MAX_KEY_LENGTH} characters.`)
}

function createTargetCall (request: IncomingMessage, parts: { call: Call, service: Service, signal: AbortSignal, observation: RequestObservation }): TargetCall {
  const { call, service, signal, observation } = parts
  const method = request.method ?? 'GET'
  return {
    account: call.account.name,
    service: call.service,
    estimate: service.estimate,
    deadlineAtMs: performance.now() + service.deadlineMs,
    signal,
    trace: observation,
    isIdempotent: call.kind === 'completion' || IDEMPOTENT_METHODS.has(method),
    isCompletion: call.kind === 'completion',
    method,
    path: call.path,
    headers: selectHeaders(request.headers),
    body: call.body.length > 0 ? call.body : undefined
  }
}
