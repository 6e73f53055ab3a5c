import type { CallAdmission } from '../..'
import { LoopClock } from '../../../LoopClock'

interface Caller {
  account: string
  /** Requests a second, at even intervals. */
  ratePerS: number
}

interface OverloadOptions {
  callers: readonly Caller[]
  durationMs: number
  /** Decides on each arrival. */
  admission: Pick<CallAdmission, 'tryAdmit' | 'addIteration'>
}

interface AccountResult {
  sent: number
  accepted: number
  /** Accepted requests whose response began within the objective. */
  inTime: number
}

interface OverloadResult {
  accounts: Map<string, AccountResult>
  /** Longest time between the arrival of a request and its response or refusal. */
  longestMs: number
}

interface Request {
  account: string
  arrivedAtMs: number
  stepsLeft: number
}

const OBJECTIVE_MS = 600
/** Processor time of a request, in three steps that take an iteration each, and of a refusal, at 0.12 cores. */
const STEP_MS = 5
const STEPS = 3
const REFUSAL_MS = 1.5
/** Time of an iteration without any input. */
const EMPTY_MS = 0.1

/** Runs the event loop of a router on a simulated clock: each iteration handles what arrived before it began. */
export function runOverload ({ callers, durationMs, admission }: OverloadOptions): OverloadResult {
  const pending = listArrivals(callers, durationMs)
  const accounts = new Map<string, AccountResult>(callers.map(({ account }) => [account, { sent: 0, accepted: 0, inTime: 0 }]))
  let nowMs = 0
  let idleMs = 0
  let iterations = 0
  let longestMs = 0
  let stopIteration = (): void => {}
  const clock = new LoopClock({ now: () => nowMs, getIdleMs: () => idleMs, countIterations: () => iterations, onIterationEnd: callback => { stopIteration = callback }, onIteration: (iterationMs, isBusy) => admission.addIteration(iterationMs, { isBusy }) })
  let running: Request[] = []
  while (pending.length > 0 || running.length > 0) {
    const polledAtMs = nowMs
    const due = running
    running = []
    for (const request of due) {
      nowMs += STEP_MS
      if (--request.stepsLeft > 0) running.push(request)
      else longestMs = Math.max(longestMs, concludeRequest(request, accounts, nowMs))
    }
    while (pending.length > 0 && pending[0].arrivedAtMs <= polledAtMs) {
      const request = pending.shift()!
      accounts.get(request.account)!.sent++
      if (admission.tryAdmit({ account: request.account, objectiveMs: OBJECTIVE_MS, ...clock.observe() }, nowMs)) {
        accounts.get(request.account)!.accepted++
        nowMs += STEP_MS
        running.push(request)
      } else {
        nowMs += REFUSAL_MS
        longestMs = Math.max(longestMs, nowMs - request.arrivedAtMs)
      }
    }
    nowMs += EMPTY_MS
    stopIteration()
    iterations++
    stopIteration = () => {}
    const nextMs = pending[0]?.arrivedAtMs ?? nowMs
    if (running.length > 0 || nextMs <= nowMs) continue
    idleMs += nextMs - nowMs
    nowMs = nextMs
  }
  return { accounts, longestMs }
}

function listArrivals (callers: readonly Caller[], durationMs: number): Request[] {
  const requests = callers.flatMap(({ account, ratePerS }, index) => {
    const count = Math.floor(durationMs * ratePerS / 1_000)
    return Array.from({ length: count }, (_, i): Request => ({ account, arrivedAtMs: index + i * 1_000 / ratePerS, stepsLeft: STEPS - 1 }))
  })
  return requests.sort((a, b) => a.arrivedAtMs - b.arrivedAtMs)
}

/** Records the begin of the response and returns how long it took. */
function concludeRequest ({ account, arrivedAtMs }: Request, accounts: Map<string, AccountResult>, nowMs: number): number {
  const tookMs = nowMs - arrivedAtMs
  if (tookMs <= OBJECTIVE_MS) accounts.get(account)!.inTime++
  return tookMs
}
