import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { z } from 'zod'
import { checkCredentials } from '../../clientAccount/checkCredentials'
import type { SettingsView } from '../../configuration/SettingsView'
import { AppError } from '../../contract/AppError'
import type { AdmissionGate } from '../../schedule/AdmissionGate'
import type { TargetClient } from '../../target/TargetClient'
import type { RequestObservation } from '../../telemetry/RequestObservation'
import { parseJsonBody } from '../parseJsonBody'
import { readBody } from '../readBody'

const CompletionHead = z.object({ model: z.string(), max_tokens: z.number().positive().optional() })
const HOP_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'authorization', 'expect', 'te', 'trailer', 'proxy-authorization', 'proxy-connection'])

interface CallHandlerOptions {
  view: SettingsView
  gate: AdmissionGate
  targets: TargetClient
  maxBodyBytes: number
}

/**
 * @name CallHandler
 * @category Instance
 * @summary Takes a caller's request from its arrival to the end of the answer.
 *
 * @param options - Settings, admission, client of the targets, limit of the body in bytes.
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
    await this.#runCall(request, response, observation, { account, service: head.data.model, path: request.url ?? '/', body })
  }

  async handleService (request: IncomingMessage, response: ServerResponse, observation: RequestObservation): Promise<void> {
    const account = checkCredentials(request.headers.authorization, this.#options.view)
    const body = await readBody(request, { maxBytes: this.#options.maxBodyBytes })
    const match = /^\/services\/([^/?]+)(\/?.*)$/.exec(request.url ?? '')
    if (!match) throw new AppError('not-found', 'No such path.')
    await this.#runCall(request, response, observation, { account, service: match[1], path: match[2] || '/', body })
  }

  async #runCall (request: IncomingMessage, response: ServerResponse, observation: RequestObservation, call: { account: { name: string, services: string[] }, service: string, path: string, body: Buffer }): Promise<void> {
    const { view, gate, targets } = this.#options
    const service = view.getService(call.service)
    if (!service) throw new AppError('unknown-service', `There is no service ${call.service}.`)
    if (!call.account.services.includes('*') && !call.account.services.includes(call.service)) throw new AppError('forbidden', `The account may not call ${call.service}.`)
    observation.setCall({ account: call.account.name, service: call.service })
    const abort = new AbortController()
    response.on('close', () => abort.abort())
    const queue = observation.startHop('queue')
    const slot = await gate.admit({ account: call.account.name, service: call.service, estimate: service.estimate, deadlineAtMs: performance.now() + service.deadlineMs, signal: abort.signal }).finally(() => queue.stop())
    const dispatch = observation.startHop('dispatch', { target: slot.target })
    try {
      const answer = await targets.dispatch({ url: slot.url, method: request.method ?? 'GET', path: call.path, headers: { ...selectHeaders(request.headers), ...observation.traceHeaders }, body: call.body.length > 0 ? call.body : undefined, signal: abort.signal })
      dispatch.stop()
      response.writeHead(answer.status, { ...selectHeaders(answer.headers), 'papayalead-outcome': 'complete' })
      const stream = observation.startHop('stream', { target: slot.target })
      await pipeline(answer.body, response).finally(() => stream.stop())
    } finally {
      dispatch.stop()
      slot.release({ cost: service.estimate, isHealthy: true })
    }
  }
}

function selectHeaders (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  const selected: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_HEADERS.has(name)) selected[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return selected
}
