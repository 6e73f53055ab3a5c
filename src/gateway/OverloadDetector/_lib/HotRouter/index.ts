import { OverloadDetector } from '../..'
import { AcceptClock } from '../../../AcceptClock'
import { CallAdmission } from '../../../CallAdmission'
import { LoopClock } from '../../../LoopClock'

interface Call {
  account: 'hot' | 'other'
  isRetry: boolean
  atMs: number
  /** When its first attempt was sent. */
  sentAtMs: number
}

/** A call that waits for its placement, or whose events arrive. */
interface RunningCall {
  call: Call
  /** When the placement arrives. */
  placedAtMs: number
  /** When the events arrive that have not been read; undefined before the placement. */
  eventsAtMs: number[] | undefined
}

interface HotRouterOptions {
  /** Called when a target gets the call. */
  onBegin: (call: Call, atMs: number) => void
  /** Called when the first event is sent to the caller. */
  onFirstEvent: (call: Call, atMs: number) => void
  onRefuse: (call: Call, retryAtMs: number) => void
  random: () => number
}

const OBJECTIVE_MS = 600
/** Most connections that the operating system keeps for the router. */
const BACKLOG = 32
/** Time of each operation at a third of a processor. */
const HEAD_MS = 3
const DISPATCH_MS = 3
const EVENT_MS = 0.3
const REFUSAL_MS = 1
const ACCEPT_MS = 0.6
const EMPTY_MS = 0.1
/** Events of a stream. Those that have arrived when it is read take one read. */
const EVENTS = 20
/** Time between the request for a placement and its reply, and between the dispatch and the first event. */
const PLACEMENT_MS = 5
const FIRST_EVENT_MS = 200
const EVENT_INTERVAL_MS = 40
const SAMPLE_INTERVAL_MS = 50
/** Time until the leader of the registry has answered a request for a permit. */
const PERMIT_DELAY_MS = 20
const MS_PER_S = 1_000

/**
 * The event loop of a router on a simulated clock. A call takes processor time when it begins and for each of its later
 * events, so that the load of the calls that have begun lags behind them.
 */
export class HotRouter {
  readonly detector = new OverloadDetector()
  readonly #options: HotRouterOptions
  readonly #admission = new CallAdmission()
  readonly #loopClock: LoopClock
  readonly #acceptClock: AcceptClock
  readonly #calls: Call[] = []
  readonly #queue: Call[] = []
  #accepted: Array<{ call: Call, acceptMs: number }> = []
  #running: RunningCall[] = []
  #nowMs = 0
  #idleMs = 0
  #iterations = 0
  #stopIteration = (): void => {}
  #sampled = { atMs: 0, idleMs: 0, refusals: 0 }
  #refusals = 0
  #overloadedAtMs = 0

  constructor (options: HotRouterOptions) {
    this.#options = options
    this.#loopClock = new LoopClock({ now: () => this.#nowMs, getIdleMs: () => this.#idleMs, countIterations: () => this.#iterations, onIterationEnd: callback => { this.#stopIteration = callback }, onIteration: (iterationMs, isBusy) => this.#admission.addIteration(iterationMs, { isBusy }) })
    this.#acceptClock = new AcceptClock({ now: () => this.#nowMs, countIterations: () => this.#iterations, backlog: BACKLOG })
  }

  /** Sends a call on an open connection, or on a new one. Returns false if the queue of connections is full. */
  trySend (call: Call): boolean {
    if (!call.isRetry) this.#calls.push(call)
    else if (this.#queue.length < BACKLOG) this.#queue.push(call)
    else return false
    return true
  }

  /** Runs the event loop until the given time. */
  runUntil (untilMs: number): void {
    while (this.#nowMs < untilMs) {
      this.#runIteration()
      this.#addSample()
      if (this.#queue.length > 0 || this.#accepted.length > 0 || this.#calls.length > 0) continue
      const nextMs = Math.min(untilMs, ...this.#running.map(({ placedAtMs, eventsAtMs }) => eventsAtMs ? eventsAtMs[0] : placedAtMs))
      if (nextMs <= this.#nowMs) continue
      this.#idleMs += nextMs - this.#nowMs
      this.#nowMs = nextMs
    }
  }

  /** Handles what has arrived before the iteration, and accepts one connection. */
  #runIteration (): void {
    const polledAtMs = this.#nowMs
    const heads = [...this.#accepted, ...this.#calls.map(call => ({ call, acceptMs: 0 }))]
    this.#accepted = []
    this.#calls.length = 0
    for (const { call, acceptMs } of heads) this.#handleHead(call, acceptMs)
    this.#running = this.#running.filter(running => this.#handleRunning(running, polledAtMs))
    const next = this.#queue.shift()
    if (next) {
      this.#nowMs += ACCEPT_MS
      const socket = {} as Parameters<AcceptClock['observe']>[0]
      this.#acceptClock.observe(socket)
      this.#accepted.push({ call: next, acceptMs: this.#acceptClock.takeDelay(socket) })
    }
    this.#nowMs += EMPTY_MS
    this.#stopIteration()
    this.#stopIteration = () => {}
    this.#iterations++
  }

  #handleHead (call: Call, acceptMs: number): void {
    const { readMs, ...delay } = this.#loopClock.observe()
    if (this.#admission.tryAdmit({ account: call.account, objectiveMs: OBJECTIVE_MS, ...delay, readMs: readMs + acceptMs }, this.#nowMs)) {
      this.#nowMs += HEAD_MS
      this.#running.push({ call, placedAtMs: this.#nowMs + PLACEMENT_MS, eventsAtMs: undefined })
      return
    }
    this.#nowMs += REFUSAL_MS
    this.#refusals++
    this.#options.onRefuse(call, this.#nowMs + this.detector.getRetryAfterS(this.#nowMs, this.#options.random) * MS_PER_S)
  }

  /** Handles what has arrived for a call; returns whether it still runs. */
  #handleRunning (running: RunningCall, polledAtMs: number): boolean {
    const { call, placedAtMs, eventsAtMs } = running
    if (!eventsAtMs) {
      if (placedAtMs > polledAtMs) return true
      this.#nowMs += DISPATCH_MS
      running.eventsAtMs = Array.from({ length: EVENTS }, (_, i) => this.#nowMs + FIRST_EVENT_MS + i * EVENT_INTERVAL_MS)
      this.#options.onBegin(call, this.#nowMs)
      return true
    }
    const unread = eventsAtMs.filter(atMs => atMs > polledAtMs)
    if (unread.length === eventsAtMs.length) return true
    this.#nowMs += EVENT_MS
    if (eventsAtMs.length === EVENTS) this.#options.onFirstEvent(call, this.#nowMs)
    running.eventsAtMs = unread
    return unread.length > 0
  }

  #addSample (): void {
    const intervalMs = this.#nowMs - this.#sampled.atMs
    if (intervalMs < SAMPLE_INTERVAL_MS) return
    const utilization = 1 - (this.#idleMs - this.#sampled.idleMs) / intervalMs
    const isChanged = this.detector.addSample({ intervalMs, delayMs: intervalMs - SAMPLE_INTERVAL_MS, utilization, refusals: this.#refusals - this.#sampled.refusals }, this.#nowMs)
    if (isChanged) this.#overloadedAtMs = this.#nowMs
    if (this.detector.isOverloaded && this.#nowMs - this.#overloadedAtMs >= PERMIT_DELAY_MS) this.detector.setPermit(true, this.#nowMs)
    this.#sampled = { atMs: this.#nowMs, idleMs: this.#idleMs, refusals: this.#refusals }
  }
}
