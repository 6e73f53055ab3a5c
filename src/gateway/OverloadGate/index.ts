import type { IncomingMessage, ServerResponse } from 'node:http'
import { errorTable } from '../../contract/errorTable'
import type { HeaderCodec } from '../../contract/HeaderCodec'
import { computeCallTokens } from '../../routing/computeCallTokens'
import type { RouteTable } from '../../routing/RouteTable'
import type { ComponentLogger } from '../../telemetry/ComponentLogger'
import type { AcceptClock } from '../AcceptClock'
import { CallAdmission } from '../CallAdmission'
import type { LoopClock } from '../LoopClock'
import { RefusalLog } from '../RefusalLog'
import type { RouterLoadLog } from '../RouterLoadLog'

type Delay = ReturnType<LoopClock['observe']>

interface OverloadGateOptions {
  clock: Pick<LoopClock, 'observe'>
  acceptClock: Pick<AcceptClock, 'takeDelay'>
  admission: CallAdmission
  loadLog: Pick<RouterLoadLog, 'add'>
  codec: HeaderCodec
  getTable: () => RouteTable | undefined
  /** Seconds after which a caller should retry a refused request. */
  getRetryAfterS: () => number
  /** Whether refusals close their connections. */
  isClosing: () => boolean
  onRefused: () => void
  logger: ComponentLogger
}

const DEFAULT_OBJECTIVE_MS = 600
const KIND = 'no-target'
/** A string, because Node.js sends it with the head in one write. */
const BODY = JSON.stringify({ error: { kind: KIND, message: 'The request has not run: this router is overloaded.', outcome: errorTable[KIND].outcome } })

/**
 * @name OverloadGate
 * @category Gateway
 * @summary Refuses a request at its arrival if this router has too little processor time to begin it in time.
 *
 * @description
 * The refusal is sent before a body is read, a placement is requested or an object for the call is created. The tokens
 * that it asked for count as demand of its account.
 *
 * @param options - Clock of the event loop, policy, route table, and what a refusal tells the caller.
 *
 * @example
 * const delay = gate.tryAdmit(request, response) // undefined: the refusal has been sent
 */
export class OverloadGate {
  readonly #options: OverloadGateOptions
  readonly #refusals: RefusalLog
  #demand = new Map<string, number>()
  #refused = 0

  constructor (options: OverloadGateOptions) {
    this.#options = options
    this.#refusals = new RefusalLog(options.logger)
  }

  /** Number of refused requests since the start. */
  get refused (): number {
    return this.#refused
  }

  /** Accepts a request and returns how long it has waited, or sends a refusal. */
  tryAdmit (request: IncomingMessage, response: ServerResponse): Delay | undefined {
    const { clock, acceptClock, admission, loadLog, codec, getTable } = this.#options
    const delay = clock.observe()
    delay.readMs += acceptClock.takeDelay(request.socket)
    const table = getTable()
    const objectiveMs = table?.findRoute(request.headers.host ?? '', request.url ?? '/')?.objectiveMs ?? DEFAULT_OBJECTIVE_MS
    const account = table?.findAccount(codec.readApiKey(request.headers) ?? '') ?? ''
    const isAdmitted = admission.tryAdmit({ account, objectiveMs, ...delay }, performance.now())
    loadLog.add({ account, isAdmitted, readMs: delay.readMs })
    if (isAdmitted) return delay
    this.#recordRefusal(request, account, delay)
    this.#sendRefusal(response)
    return undefined
  }

  /** Returns the tokens by account that were refused since the last call. */
  takeDemand (): Array<[string, number]> {
    const demand = [...this.#demand]
    this.#demand = new Map()
    return demand
  }

  close (): void {
    this.#refusals.flush()
  }

  #recordRefusal (request: IncomingMessage, account: string, delay: Delay): void {
    const { id, promptTokens, outputTokens } = this.#options.codec.readRequestHeaders(request.headers)
    this.#refused++
    this.#options.onRefused()
    this.#refusals.add({ requestId: id, account, readMs: delay.readMs })
    const tokens = computeCallTokens({ promptTokens, outputTokens })
    if (tokens > 0) this.#demand.set(account, (this.#demand.get(account) ?? 0) + tokens)
  }

  #sendRefusal (response: ServerResponse): void {
    const headers = ['content-type', 'application/json', 'content-length', String(BODY.length), 'retry-after', this.#options.getRetryAfterS().toFixed(2)]
    if (this.#options.isClosing()) headers.push('connection', 'close')
    response.writeHead(errorTable[KIND].status, headers)
    response.end(BODY)
  }
}
