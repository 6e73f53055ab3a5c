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
import type { KeyedCallRunner } from '../KeyedCallRunner'
import { parseJsonBody } from '../parseJsonBody'
import { readBody } from '../readBody'

const CompletionHead = z.object({ model: z.string(), max_tokens: z.number().positive().optional() })
const MAX_KEY_LENGTH = 200
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])

interface CallHandlerOptions {
  view: SettingsView
  relay: ResponseRelay
  keyed: KeyedCallRunner
  maxBodyBytes: number
}

interface Exchange {
  request: IncomingMessage
  response: ServerResponse
  observation: RequestObservation
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
 * @summary Takes a caller's request from its arrival to the end of the answer.
 *
 * @param options - Settings, relay of the answers, runner of calls with a key, limit of the body in bytes.
 *
 * @example
 * await handler.handleCompletion(request, response, observation)
 */
export class CallHandler {
  readonly #options: CallHandlerOptions

  constructor (options: CallHandlerOptions) {
    this.#options = options
  }

  async handleCompletion (request: IncomingMessage, response: ServerResponse, observation: RequestObservation): Promise<void> {
    const account = checkCredentials(request.headers.authorization, this.#options.view)
    const body = await readBody(request, { maxBytes: this.#options.maxBodyBytes })
    const head = CompletionHead.safeParse(parseJsonBody(body))
    if (!head.success) throw new AppError('bad-request', 'The body needs a model.')
    await this.#runCall({ request, response, observation }, { account, service: head.data.model, path: request.url ?? '/', body, kind: 'completion' })
  }

  async handleService (request: IncomingMessage, response: ServerResponse, observation: RequestObservation): Promise<void> {
    const account = checkCredentials(request.headers.authorization, this.#options.view)
    const body = await readBody(request, { maxBytes: this.#options.maxBodyBytes })
    const match = /^\/services\/([^/?]+)(\/?.*)$/.exec(request.url ?? '')
    if (!match) throw new AppError('not-found', 'No such path.')
    await this.#runCall({ request, response, observation }, { account, service: match[1], path: match[2] || '/', body, kind: 'http' })
  }

  async #runCall ({ request, response, observation }: Exchange, call: Call): Promise<void> {
    const service = this.#findService(call)
    observation.setCall({ account: call.account.name, service: call.service })
    const signal = watchCaller(response)
    const targetCall = createTargetCall(request, { call, service, signal, observation })
    const key = targetCall.isIdempotent ? undefined : parseKey(request.headers['idempotency-key'])
    if (key === undefined) await this.#options.relay.run(targetCall, response)
    else await this.#options.keyed.run(targetCall, key, response)
  }

  #findService (call: Call): Service {
    const service = this.#options.view.getService(call.service)
    // A plain service reached as a completion would count as idempotent and could run twice.
    const isOtherKind = call.kind === 'completion' && service?.kind !== 'completion'
    if (!service || isOtherKind) throw new AppError('unknown-service', `There is no service ${call.service} for this call.`)
    if (call.account.services.includes('*') || call.account.services.includes(call.service)) return service
    throw new AppError('forbidden', `The account may not call ${call.service}.`)
  }
}

function parseKey (header: string | string[] | undefined): string | undefined {
  if (header === undefined) return undefined
  if (typeof header === 'string' && header.length > 0 && header.length <= MAX_KEY_LENGTH) return header
  throw new AppError('bad-request', `An idempotency key has 1 to ${MAX_KEY_LENGTH} characters.`)
}

/** A signal that aborts when the caller leaves before the end of the answer. */
function watchCaller (response: ServerResponse): AbortSignal {
  const abort = new AbortController()
  response.on('close', () => {
    if (!response.writableFinished) abort.abort(new AppError('caller-gone', 'The caller left.'))
  })
  return abort.signal
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
