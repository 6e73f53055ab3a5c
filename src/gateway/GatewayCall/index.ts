import type { IncomingMessage, ServerResponse } from 'node:http'
import { setImmediate } from 'node:timers/promises'
import type { Dispatcher } from 'undici'
import { AppError } from '../../contract/AppError'
import type { RequestMetadata } from '../../contract/RequestMetadata'
import { convertToAppError } from '../../contract/convertToAppError'
import type { Route } from '../../contract/Route'
import { abortResponse } from '../../instance/abortResponse'
import { readBody } from '../../instance/readBody'
import type { AttemptResult } from '../../routing/AttemptResult'
import { chooseService } from '../../routing/chooseService'
import { planAttempts } from '../../routing/planAttempts'
import type { RouteTable } from '../../routing/RouteTable'
import { ResponseWriter } from '../ResponseWriter'
import { CallAttempt } from '../CallAttempt'
import { CallRecord } from '../CallRecord'
import type { LoopClock } from '../LoopClock'
import { placeCall } from '../placeCall'
import type { GatewayContext } from '../GatewayContext'
import { sendCallError } from '../sendCallError'

type Placement = Extract<Awaited<ReturnType<typeof placeCall>>, { type: 'place' }>
type Delay = ReturnType<LoopClock['observe']>
type Plan = ReturnType<typeof planAttempts>
type NextAttempt = Extract<ReturnType<Plan['next']>, { done?: false }>['value']
type Conclusion = Extract<ReturnType<Plan['next']>, { done: true }>['value']

interface AdmittedCall {
  route: Route
  table: RouteTable
  account: string | undefined
  service: string
  body: Buffer
  deadlineAtMs: number
}

/** Share of a target's connections that all routers use together; the rest is left for connections that are closing. */
const CONNECTION_SHARE = 0.8
const MIN_CONNECTIONS = 4
const DEFAULT_MAX_CONNECTIONS = 100
const RETRY_AFTER_S = 0.5
const DEFAULT_OBJECTIVE_MS = 600
/** Objective of a resumed stream, which is late already but should still be completed. */
const RESUME_OBJECTIVE_MS = 5_000
/** A caller that leaves while its call waits less than this for a placement is noticed early enough to cancel the call. */
const CLOSE_CHECK_AFTER_MS = 100
/** The event loop is taken for busy if it has not waited for input for this long: closes are read late. */
const BUSY_MS = 50
/** A target stops at the deadline that it was told; what it has not answered by then and after this time never comes. */
const DETACHED_MARGIN_MS = 1_000
/** Stands for this router in estimates. */
const LOCAL_SCHEDULER = 'local'

/**
 * @name GatewayCall
 * @category Gateway
 * @summary One request of a caller, from its head to its final response.
 *
 * @description
 * Finds the route and the client account, reads the body, and runs the attempts that planAttempts yields. Every request
 * ends with exactly one response or with a closed connection, and with one log line.
 *
 * @example
 * await new GatewayCall(request, response, context, delay).run()
 */
export class GatewayCall {
  readonly #request: IncomingMessage
  readonly #response: ServerResponse
  readonly #context: GatewayContext
  readonly #metadata: RequestMetadata
  readonly #record: CallRecord
  readonly #writer: ResponseWriter
  /** Whether the caller may have left before the request was read. */
  readonly #isDelayed: boolean
  #attempt: CallAttempt | undefined
  #isCallerGone = false
  #isExpired = false
  #isInterrupted = false
  #stopWaiting!: () => void
  /** Resolves when the router interrupts the call. */
  readonly #interruption = new Promise<undefined>(resolve => { this.#stopWaiting = () => resolve(undefined) })

  /** `delay`: how long the request has waited to be read. */
  constructor (request: IncomingMessage, response: ServerResponse, context: GatewayContext, delay: Delay) {
    this.#request = request
    this.#response = response
    this.#context = context
    this.#writer = new ResponseWriter(response)
    this.#metadata = context.codec.readRequestHeaders(request.headers)
    this.#record = new CallRecord(this.#metadata, context, delay)
    this.#isDelayed = delay.busyMs > BUSY_MS || delay.readMs > BUSY_MS
  }

  async run (): Promise<void> {
    try {
      const call = await this.#admit()
      await this.#serve(call)
    } catch (thrown) {
      const error = convertToAppError(thrown)
      sendCallError(this.#response, error)
      this.#record.close({ outcome: error.outcome, status: error.status, kind: error.kind, reason: error.message })
    }
  }

  /** Ends the call as not run if no target has taken it, because little time is left at a stop. Returns whether it did. */
  stopUnlessSent (): boolean {
    if (this.#isInterrupted || this.#attempt?.exchange.isSent || this.#response.headersSent) return false
    this.stop()
    return true
  }

  /** Ends the call with its final response, because the router stops. */
  stop (): void {
    this.#isInterrupted = true
    this.#expire()
    this.#stopWaiting()
  }

  async #admit (): Promise<AdmittedCall> {
    const { getTable, retryBudget, isRefusing } = this.#context
    const metadata = this.#metadata
    if (isRefusing()) throw createShutdownError()
    const table = getTable()
    if (!table) throw new AppError('control-unavailable', 'This router has not received a route document yet.', { retryAfterS: RETRY_AFTER_S })
    const route = table.findRoute(this.#request.headers.host ?? '', this.#request.url ?? '/')
    if (!route) throw new AppError('not-found', 'No route matches the host and path of the request.')
    const account = metadata.apiKey === undefined ? undefined : table.findAccount(metadata.apiKey)
    if (account === undefined && !route.isOpen && table.document.accounts.length > 0) throw new AppError('unauthenticated', 'The API key is missing or unknown.')
    const body = await Promise.race([readBody(this.#request, { maxBytes: table.document.limits.maxBodyBytes }), this.#interruption])
    if (!body || isRefusing()) throw createShutdownError()
    const service = chooseService(route.split, Math.random())
    retryBudget.recordRequest(service, this.#record.arrivedAtMs)
    this.#record.setAdmission({ route: route.name, account, service, version: table.document.version })
    const deadlineAtMs = this.#record.arrivedAtMs + Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs)
    return { route, table, account, service, body, deadlineAtMs }
  }

  async #serve (call: AdmittedCall): Promise<void> {
    const { route, service } = call
    const isRetryable = route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable)
    this.#response.once('close', () => this.#handleClose(call))
    const timer = setTimeout(() => this.#expire(), Math.max(1, call.deadlineAtMs - performance.now()))
    if (this.#isDelayed || !this.#isPrompt(call)) await waitForClose()
    const { retryBudget, loads } = this.#context
    const plan = planAttempts({ isRetryable, maxAttempts: route.maxAttempts, tryTakeRetry: () => retryBudget.tryTake(service, { routers: loads.routers, nowMs: performance.now() }) })
    let step = plan.next()
    while (!step.done) {
      const result = await this.#runAttempt(call, step.value)
      this.#record.addResult(result.type)
      step = plan.next(result)
    }
    clearTimeout(timer)
    this.#conclude(step.value)
  }

  async #runAttempt (call: AdmittedCall, next: NextAttempt): Promise<AttemptResult> {
    this.#record.startAttempt()
    const placing = this.#place(call, next)
    const placement = await Promise.race([placing, this.#interruption])
    if (!placement) {
      withdrawPlacement(placing)
      this.#record.addPlacement(undefined)
      return { type: 'expired', isSent: false, isStarted: this.#response.headersSent }
    }
    this.#record.addPlacement(placement.type === 'place' ? placement.target.id : undefined, 'estimate' in placement ? placement.estimate : undefined)
    if (placement.type !== 'place') return placement
    if (this.#isCallerGone || this.#isExpired) {
      placement.record('ended')
      return this.#isCallerGone ? { type: 'left' } : { type: 'expired', isSent: false, isStarted: this.#response.headersSent }
    }
    const result = await this.#send(call, next, placement)
    placement.record(convertToProgress(result))
    return result
  }

  async #place (call: AdmittedCall, next: NextAttempt): ReturnType<typeof placeCall> {
    const startedAtMs = performance.now()
    const placement = await placeCall(this.#createPlaceCallOptions(call, next), this.#context)
    const isImmediate = 'estimate' in placement && placement.estimate?.scheduler === LOCAL_SCHEDULER
    if (this.#isDelayed || isImmediate || performance.now() - startedAtMs > CLOSE_CHECK_AFTER_MS) await waitForClose()
    return placement
  }

  /** Whether a scheduler places the call: a close of the caller is then read before its reply. */
  #isPrompt ({ service, table }: AdmittedCall): boolean {
    return this.#metadata.parts.length > 0 && table.findService(service)?.engine !== undefined
  }

  #createPlaceCallOptions ({ service, route, account, table }: AdmittedCall, { excluded, lastEventId }: NextAttempt): Parameters<typeof placeCall>[0] {
    const elapsedMs = performance.now() - this.#record.arrivedAtMs
    const objectiveMs = lastEventId === undefined ? (route.objectiveMs ?? DEFAULT_OBJECTIVE_MS) - elapsedMs : RESUME_OBJECTIVE_MS
    return { metadata: this.#metadata, account: account ?? '', service, isEngineService: table.findService(service)?.engine !== undefined, objectiveMs: Math.max(1, objectiveMs), excluded }
  }

  #send (call: AdmittedCall, { lastEventId }: NextAttempt, { target, record }: Placement): Promise<AttemptResult> {
    const { loads, connections, codec, batcher, bufferBudget } = this.#context
    const { service, route, table } = call
    const attempt = new CallAttempt({
      codec,
      callId: this.#metadata.id,
      target: target.id,
      isStream: route.kind === 'stream',
      resumedEventId: lastEventId,
      writer: this.#writer,
      batcher,
      budget: bufferBudget,
      onHead: () => this.#record.startResponse(),
      onProgress: () => record('read')
    })
    this.#attempt?.release()
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
      headers: this.#context.codec.createTargetHeaders(this.#request.rawHeaders, { remainingMs, targetId, account, lastEventId: lastEventId ?? this.#metadata.lastEventId, traceparent: this.#record.traceparent }),
      body: body.length > 0 ? body : null
    }
  }

  #handleClose ({ route, deadlineAtMs }: AdmittedCall): void {
    this.#attempt?.release()
    if (this.#response.writableFinished) return
    this.#isCallerGone = true
    if (route.kind === 'non-idempotent') this.#attempt?.detach({ maxMs: Math.max(0, deadlineAtMs - performance.now()) + DETACHED_MARGIN_MS })
    else this.#attempt?.cancel('left')
  }

  #expire (): void {
    this.#isExpired = true
    this.#attempt?.cancel('expired')
  }

  #conclude (conclusion: Conclusion): void {
    switch (conclusion.type) {
      case 'done': {
        const end = this.#isCallerGone ? { outcome: 'unknown' as const, kind: 'caller-gone' as const } : { outcome: 'complete' as const }
        return this.#record.close({ ...end, status: this.#response.statusCode })
      }
      case 'deliver': {
        const { status, headers, body } = this.#attempt!.failure!
        this.#writer.sendBuffered({ status, headers }, body)
        return this.#record.close({ outcome: 'complete', status, reason: 'The target reported a failure.' })
      }
      case 'refuse':
        if (this.#isInterrupted) throw createShutdownError()
        if (conclusion.reason === 'blocked') throw new AppError('prompt-blocked', `The request has not run: targets crash when they answer requests with the prompt part ${conclusion.part}.`, { retryAfterS: conclusion.retryAfterS })
        throw new AppError('no-target', `The request has not run: ${conclusion.reason}.`, { retryAfterS: conclusion.retryAfterS ?? RETRY_AFTER_S })
      case 'fail':
        if (this.#isInterrupted) throw new AppError('outcome-unknown', 'The request may have run: this router stopped before it received the response.')
        throw new AppError(conclusion.reason === 'expired' ? 'target-timeout' : 'target-failed', 'No valid and complete response was received from the target.')
      case 'break':
        abortResponse(this.#response)
        return this.#record.close({ outcome: 'unknown', status: this.#response.statusCode, kind: 'answer-truncated', reason: 'The response was cut off after a part of it had been sent.' })
    }
  }
}

/**
 * Waits until the event loop has delivered a close of the connection that arrived with the request: the caller may have
 * left while this router was busy.
 */
async function waitForClose (): Promise<void> {
  await setImmediate()
  await setImmediate()
}

function createShutdownError (): AppError {
  return new AppError('shutting-down', 'The request has not run: this router is stopping.', { retryAfterS: RETRY_AFTER_S })
}

/** Releases a placement that is granted after its call has ended. */
function withdrawPlacement (placing: ReturnType<typeof placeCall>): void {
  placing.then(placement => { if (placement.type === 'place') placement.record('ended') }, () => {})
}

function convertToProgress (result: AttemptResult): Parameters<Placement['record']>[0] {
  if (result.type === 'unsent') return 'unreachable'
  return result.type === 'lost' ? 'lost' : 'ended'
}
