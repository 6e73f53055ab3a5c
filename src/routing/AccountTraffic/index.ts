import type { PlacementRequest } from '../../contract/PlacementRequest'
import type { PlacementVerdict } from '../../contract/PlacementVerdict'
import { computeCallTokens } from '../computeCallTokens'

/** Figures of an account over the window. */
interface AccountFigures {
  account: string
  askedTokens: number
  placedTokens: number
  /** Tokens that the scheduler and routers refused. */
  refusedTokens: number
  /** Tokens that routers refused at the arrival of the calls. */
  routerRefusedTokens: number
  /** Calls that the scheduler refused, and reports of routers about refused calls. */
  refusedCalls: number
  /** Placed tokens, divided by what the account asked or the best served account got, whichever is less each second. */
  share: number
}

interface Second {
  asked: number
  placed: number
  refused: number
  routerRefused: number
  refusedCalls: number
}

type Request = Pick<PlacementRequest, 'account' | 'promptTokens' | 'outputTokens'>
type Verdict = Pick<PlacementVerdict, 'type'>

/** The users measure the shares of accounts over this time. */
const WINDOW_S = 6
const MS_PER_S = 1_000

/**
 * @name AccountTraffic
 * @category Routing
 * @summary Tokens that each client account asked for, and that were placed and refused, in the last six whole seconds.
 *
 * @description
 * Shows whether an account gets less than its share, in the unit in which the users count service: a prompt token counts
 * once, cached or not, a generated one twice. The scheduler does not use these figures. Accounts without calls in the
 * window are removed. Times are milliseconds of a monotonic clock.
 *
 * @example
 * traffic.recordRequest(request, nowMs)
 * traffic.recordVerdict(request, verdict, nowMs)
 * traffic.list(nowMs) // [{ account: 'a', askedTokens: 40_000, placedTokens: 12_000, ..., share: 0.3 }]
 */
export class AccountTraffic {
  /** Seconds of each account by their number. */
  readonly #accounts = new Map<string, Map<number, Second>>()

  recordRequest (request: Request, nowMs: number): void {
    this.#getSecond(request.account, nowMs).asked += computeCallTokens(request)
  }

  recordVerdict (request: Request, verdict: Verdict, nowMs: number): void {
    const second = this.#getSecond(request.account, nowMs)
    if (verdict.type === 'place') {
      second.placed += computeCallTokens(request)
    } else if (verdict.type === 'refuse') {
      second.refused += computeCallTokens(request)
      second.refusedCalls++
    }
  }

  /** Records the tokens of calls that a router refused at their arrival, so that the scheduler did not see them. */
  recordRouterRefusals (account: string, tokens: number, nowMs: number): void {
    const second = this.#getSecond(account, nowMs)
    second.asked += tokens
    second.refused += tokens
    second.routerRefused += tokens
    second.refusedCalls++
  }

  /** Figures of all accounts over the last six whole seconds, the one with the smallest share first. */
  list (nowMs: number): AccountFigures[] {
    const untilS = Math.floor(nowMs / MS_PER_S)
    const numbers = Array.from({ length: WINDOW_S }, (_, i) => untilS - WINDOW_S + i)
    this.#removeBefore(numbers[0])
    const windows = [...this.#accounts].map(([account, seconds]) => {
      const window = numbers.map(number => seconds.get(number) ?? createSecond())
      return { account, window, placedTokens: computeSum(window, 'placed') }
    })
    if (windows.length === 0) return []
    const best = windows.reduce((most, next) => next.placedTokens > most.placedTokens ? next : most).window
    return windows.map(({ account, window, placedTokens }) => {
      const due = window.reduce((sum, { asked }, i) => sum + Math.min(asked, best[i].placed), 0)
      return { account, askedTokens: computeSum(window, 'asked'), placedTokens, refusedTokens: computeSum(window, 'refused'), routerRefusedTokens: computeSum(window, 'routerRefused'), refusedCalls: computeSum(window, 'refusedCalls'), share: due > 0 ? placedTokens / due : 1 }
    }).sort((a, b) => a.share - b.share)
  }

  clear (): void {
    this.#accounts.clear()
  }

  #removeBefore (number: number): void {
    for (const [account, seconds] of this.#accounts) {
      for (const old of seconds.keys()) if (old < number) seconds.delete(old)
      if (seconds.size === 0) this.#accounts.delete(account)
    }
  }

  #getSecond (account: string, nowMs: number): Second {
    let seconds = this.#accounts.get(account)
    if (!seconds) this.#accounts.set(account, seconds = new Map())
    const number = Math.floor(nowMs / MS_PER_S)
    let second = seconds.get(number)
    if (!second) seconds.set(number, second = createSecond())
    return second
  }
}

function createSecond (): Second {
  return { asked: 0, placed: 0, refused: 0, routerRefused: 0, refusedCalls: 0 }
}

function computeSum (window: readonly Second[], field: keyof Second): number {
  return window.reduce((sum, second) => sum + second[field], 0)
}
