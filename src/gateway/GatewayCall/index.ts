import type { IncomingMessage, ServerResponse } from 'node:http'
import { setImmediate } from 'node:timers/promises'
import type { Dispatcher } from 'undici'
import { AppError } from '../../contract/AppError'
import type { RequestMetadata } from '../../contract/RequestMetadata'
import { convertToAppError } from '../../contract/convertToAppError'
import type { Route } from '../../contract/Route'
import { readBody } from '../../instance/readBody'
import type { AttemptResult } from '../../routing/AttemptResult'
import { chooseService } from '../../routing/chooseService'
import { planAttempts } from '../../routing/planAttempts'
import type { RouteTable } from '../../routing/RouteTable'
import { AnswerWriter } from '../AnswerWriter'
import { CallAttempt } from '../CallAttempt'
import { CallRecord } from '../CallRecord'
import { placeCall } from '../placeCall'
import type { GatewayContext } from '../GatewayContext'
import { refuseCall } from '../refuseCall'

type Place = Extract<Awaited<ReturnType<typeof placeCall>>, { type: 'place' }>
type Plan = ReturnType<typeof planAttempts>
type Order = Extract<ReturnType<Plan['next']>, { done?: false }>['value']
type Conclusion = Extract<ReturnType<Plan['next']>, { done: true }>['value']

interface AdmittedCall {
  route: Route
  table: RouteTable
  account: string | undefined
  service: string
  body: Buffer
  deadlineAtMs: number
}

/** The share of a target's connections that the routers use together; the rest is left for connections that are being closed. */
const CONNECTION_SHARE = 0.8
const MIN_CONNECTIONS = 4
const DEFAULT_MAX_CONNECTIONS = 100
const RETRY_AFTER_S = 0.5
/** The next attempt reaches another router, which has time at once. */
const SHED_RETRY_AFTER_S = 0.05
const DEFAULT_OBJECTIVE_MS = 600
const RESUME_OBJECTIVE_MS = 5_000

/**
 * @name GatewayCall
 * @category Gateway
 * @summary One request of a caller, from its head to its final answer.
 *
 * @description
 * Finds the route and the client account, reads the body, and runs the attempts that planAttempts orders. Every
 * request ends with exactly one answer or with a closed connection, and with one log line.
 *
 * @example
 * await new GatewayCall(request, response, context).run()
 */
export class GatewayCall {
  readonly #request: IncomingMessage
  readonly #response: ServerResponse
  readonly #context: GatewayContext
  readonly #facts: RequestMetadata
  readonly #record: CallRecord
  #attempt: CallAttempt | undefined
  #isLeft = false
  #isExpired = false

  constructor (request: IncomingMessage, response: ServerResponse, context: GatewayContext) {
    this.#request = request
    this.#response = response
    this.#context = context
    this.#facts = context.codec.readRequestHeaders(request.headers)
    this.#record = new CallRecord(this.#facts, context)
  }

  async run (): Promise<void> {
    try {
      const call = await this.#admit()
      await this.#serve(call)
    } catch (thrown) {
      const error = convertToAppError(thrown)
      refuseCall(this.#response, error)
      this.#record.close({ outcome: error.outcome, status: error.status, kind: error.kind, reason: error.message })
    }
  }

  async #admit (): Promise<AdmittedCall> {
    const { getTable, budget, isShedding } = this.#context
    const facts = this.#facts
    const table = getTable()
    if (!table) throw new AppError('control-unavailable', 'No route document is known yet.', { retryAfterS: RETRY_AFTER_S })
    if (isShedding()) throw new AppError('no-target', 'The request has not run: this router is overloaded.', { retryAfterS: SHED_RETRY_AFTER_S })
    const route = table.findRoute(this.#request.headers.host ?? '', this.#request.url ?? '/')
    if (!route) throw new AppError('not-found', 'No route leads there.')
    const account = facts.apiKey === undefined ? undefined : table.findAccount(facts.apiKey)
    if (account === undefined && !route.isOpen && table.document.accounts.length > 0) throw new AppError('unauthenticated', 'The key is unknown.')
    const body = await readBody(this.#request, { maxBytes: table.document.limits.maxBodyBytes })
    const service = chooseService(route.split, Math.random())
    budget.recordRequest(service, this.#record.arrivedAtMs)
    this.#record.setAdmission({ route: route.name, account, service, version: table.document.version })
    const deadlineAtMs = this.#record.arrivedAtMs + Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs)
    return { route, table, account, service, body, deadlineAtMs }
  }

  async #serve (call: AdmittedCall): Promise<void> {
    const { route, service } = call
    const isRepeatable = route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable)
    this.#response.once('close', () => this.#handleClose(route))
    const timer = setTimeout(() => this.#expire(), Math.max(1, call.deadlineAtMs - performance.now()))
    await waitForClose()
    const { budget, loads } = this.#context
    const plan = planAttempts({ isRepeatable, maxAttempts: route.maxAttempts, tryTakeRepeat: () => budget.tryTake(service, { routers: loads.routers, nowMs: performance.now() }) })
    let step = plan.next()
    while (!step.done) {
      const result = await this.#runAttempt(call, step.value)
      this.#record.addResult(result.type)
      step = plan.next(result)
    }
    clearTimeout(timer)
    this.#conclude(step.value)
  }

  async #runAttempt (call: AdmittedCall, order: Order): Promise<AttemptResult> {
    this.#record.startAttempt()
    const place = await placeCall(this.#createPlaceRequest(call, order), this.#context)
    this.#record.addPlacement(place.type === 'place' ? place.target.id : undefined, 'estimate' in place ? place.estimate : undefined)
    if (place.type !== 'place') return place
    if (this.#isLeft || this.#isExpired) {
      place.record('ended')
      return this.#isLeft ? { type: 'left' } : { type: 'expired', isSent: false, isStarted: this.#response.headersSent }
    }
    const result = await this.#send(call, order, place)
    place.record(convertResult(result))
    return result
  }

  #createPlaceRequest ({ service, route, account, table }: AdmittedCall, { excluded, lastEventId }: Order): Parameters<typeof placeCall>[0] {
    const elapsedMs = performance.now() - this.#record.arrivedAtMs
    // A stream that goes on at another target is late already; it should still end.
    const objectiveMs = lastEventId === undefined ? (route.objectiveMs ?? DEFAULT_OBJECTIVE_MS) - elapsedMs : RESUME_OBJECTIVE_MS
    return { facts: this.#facts, account: account ?? '', service, isEngine: table.findService(service)?.engine !== undefined, objectiveMs: Math.max(1, objectiveMs), excluded }
  }

  #send (call: AdmittedCall, { lastEventId }: Order, { target, record }: Place): Promise<AttemptResult> {
    const { loads, connections, codec } = this.#context
    const { service, route, table } = call
    const attempt = new CallAttempt({
      codec,
      callId: this.#facts.id,
      target: target.id,
      isStream: route.kind === 'stream',
      writer: new AnswerWriter(this.#response),
      onHead: () => this.#record.startAnswer(),
      onProgress: () => record('read')
    })
    this.#attempt = attempt
    const maxConnections = table.findService(service)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS
    const limit = Math.max(MIN_CONNECTIONS, Math.floor(maxConnections * CONNECTION_SHARE / loads.routers))
    connections.dispatch(target, { limit, request: this.#createRequest(call, { targetId: target.id, lastEventId }), handler: attempt.exchange })
    return attempt.result
  }

  #createRequest (call: AdmittedCall, { targetId, lastEventId }: { targetId: string, lastEventId: string | undefined }): Dispatcher.DispatchOptions {
    const { account, body, deadlineAtMs } = call
    const remainingMs = Math.max(1, Math.floor(deadlineAtMs - performance.now()))
    return {
      method: this.#request.method as Dispatcher.HttpMethod,
      path: this.#request.url ?? '/',
      headers: this.#context.codec.createTargetHeaders(this.#request.rawHeaders, { remainingMs, targetId, account, lastEventId: lastEventId ?? this.#facts.lastEventId, traceparent: this.#record.traceparent }),
      body: body.length > 0 ? body : null
    }
  }

  #handleClose (route: Route): void {
    if (this.#response.writableFinished) return
    this.#isLeft = true
    if (route.kind === 'non-idempotent') this.#attempt?.detach()
    else this.#attempt?.cancel('left')
  }

  #expire (): void {
    this.#isExpired = true
    this.#attempt?.cancel('expired')
  }

  #conclude (conclusion: Conclusion): void {
    switch (conclusion.type) {
      case 'done': {
        const end = this.#isLeft ? { outcome: 'unknown' as const, kind: 'caller-gone' as const } : { outcome: 'complete' as const }
        return this.#record.close({ ...end, status: this.#response.statusCode })
      }
      case 'deliver': {
        const { status, headers, body } = this.#attempt!.failure!
        new AnswerWriter(this.#response).sendWhole({ status, headers }, body)
        return this.#record.close({ outcome: 'complete', status, reason: 'The target reported a failure.' })
      }
      case 'refuse':
        throw new AppError('no-target', `The request has not run: ${conclusion.reason}.`, { retryAfterS: conclusion.retryAfterS ?? RETRY_AFTER_S })
      case 'fail':
        throw new AppError(conclusion.reason === 'expired' ? 'target-timeout' : 'target-failed', 'The answer of the target is missing.')
      case 'break':
        this.#response.destroy()
        return this.#record.close({ outcome: 'unknown', status: this.#response.statusCode, kind: 'answer-truncated', reason: 'The stream broke off.' })
    }
  }
}

/** Lets the event loop deliver a close that arrived with the request: its caller may have left while this router was busy. */
async function waitForClose (): Promise<void> {
  await setImmediate()
  await setImmediate()
}

function convertResult (result: AttemptResult): Parameters<Place['record']>[0] {
  if (result.type === 'unsent') return 'unreachable'
  return result.type === 'lost' ? 'lost' : 'ended'
}
