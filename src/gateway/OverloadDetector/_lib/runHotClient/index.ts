import { createRandom } from '../../../../standIn/createRandom'
import { HotRouter } from '../HotRouter'

interface HotClientOptions {
  routers: number
  /** Calls a second of the client before and after its load rises. */
  usualPerS: number
  hotPerS: number
  hotFromMs: number
  /** Calls a second of another account at the same routers. */
  otherPerS: number
  durationMs: number
}

interface AccountResult {
  /** Calls that were sent, and that a target got, by the second of the day. */
  sent: number[]
  begun: number[]
  /** Calls whose first event was sent within the objective. */
  inTime: number
}

interface HotClientResult {
  hot: AccountResult
  other: AccountResult
  /** Retries that found the queue of connections full. */
  unconnected: number
}

type Account = typeof ACCOUNTS[number]

interface Attempt {
  account: Account
  atMs: number
  isRetry: boolean
  /** When the first attempt of the call was sent. */
  sentAtMs: number
}

const ACCOUNTS = ['hot', 'other'] as const
const MS_PER_S = 1_000
const OBJECTIVE_MS = 600
const CHECK_INTERVAL_MS = 1_000
/** Failed readiness checks in a row after which the load balancer takes a router out of rotation. */
const MAX_FAILED_CHECKS = 2

/**
 * Runs the calls of one client at the routers of an availability zone, on a simulated clock. The load balancer sends all of
 * its calls to the first router that is in rotation, and refused ones, which are retried once on a new connection, too.
 */
export function runHotClient ({ routers: count, usualPerS, hotPerS, hotFromMs, otherPerS, durationMs }: HotClientOptions): HotClientResult {
  const accounts = { hot: createAccountResult(durationMs), other: createAccountResult(durationMs) }
  const retries: Attempt[] = []
  let unconnected = 0
  const options = {
    onBegin: ({ account }: Attempt, atMs: number) => { if (atMs < durationMs) accounts[account].begun[Math.floor(atMs / MS_PER_S)]++ },
    onFirstEvent: ({ account, sentAtMs }: Attempt, atMs: number) => { if (atMs - sentAtMs <= OBJECTIVE_MS) accounts[account].inTime++ },
    onRefuse: (call: Attempt, atMs: number) => { if (!call.isRetry) retries.push({ ...call, atMs, isRetry: true }) },
    random: createRandom(1)
  }
  const routers = Array.from({ length: count }, () => ({ router: new HotRouter(options), failedChecks: 0 }))
  const findRouter = (): HotRouter => (routers.find(({ failedChecks }) => failedChecks < MAX_FAILED_CHECKS) ?? routers[0]).router
  const nextMs = { hot: 0, other: 0 }
  for (let nowMs = 0; nowMs < durationMs; nowMs++) {
    if (nowMs % CHECK_INTERVAL_MS === 0) for (const entry of routers) entry.failedChecks = entry.router.detector.isLeaving(nowMs) ? entry.failedChecks + 1 : 0
    const ratePerS = { hot: nowMs < hotFromMs ? usualPerS : hotPerS, other: otherPerS }
    for (const account of ACCOUNTS) {
      for (; nextMs[account] <= nowMs; nextMs[account] += MS_PER_S / ratePerS[account]) {
        accounts[account].sent[Math.floor(nowMs / MS_PER_S)]++
        findRouter().trySend({ account, atMs: nowMs, isRetry: false, sentAtMs: nowMs })
      }
    }
    for (const retry of takeDue(retries, nowMs)) if (!findRouter().trySend(retry)) unconnected++
    for (const { router } of routers) router.runUntil(nowMs + 1)
  }
  return { ...accounts, unconnected }
}

function createAccountResult (durationMs: number): AccountResult {
  const createZeros = (): number[] => Array(Math.ceil(durationMs / MS_PER_S)).fill(0)
  return { sent: createZeros(), begun: createZeros(), inTime: 0 }
}

/** Removes and returns the attempts whose time has come. */
function takeDue (attempts: Attempt[], nowMs: number): Attempt[] {
  const due = attempts.filter(({ atMs }) => atMs <= nowMs)
  const later = attempts.filter(({ atMs }) => atMs > nowMs)
  attempts.splice(0, attempts.length, ...later)
  return due
}
