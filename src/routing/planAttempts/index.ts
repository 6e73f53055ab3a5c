import type { AttemptResult } from '../AttemptResult'

interface RetryPolicy {
  /** Whether the request may be sent again after a target may have run it. */
  isRetryable: boolean
  /** Maximum number of attempts that reach a target. */
  maxAttempts: number
  /** Takes one retry from the retry budget of the fleet; returns false if none is left. */
  tryTakeRetry: () => boolean
}

interface NextAttempt {
  /** Targets that must not be tried again. */
  excluded: ReadonlySet<string>
  /** Id of the last event that the caller has received; the next attempt resumes the stream after it. */
  lastEventId?: string
}

type Conclusion =
  /** The response was forwarded, or the caller closed its connection. */
  | { type: 'done' }
  /** Forward the response in which the target reports a failure. */
  | { type: 'deliver' }
  /** The request has not run and will not run. */
  | { type: 'refuse', reason: 'no-target' | 'no-room' | 'not-run' | 'expired', retryAfterS?: number }
  /** The request has not run, because targets crash when they answer requests with this part of its prompt. */
  | { type: 'refuse', reason: 'blocked', part: string, retryAfterS: number }
  /** The request may have run, but its response is lost. */
  | { type: 'fail', reason: 'lost' | 'expired' }
  /** The caller has received the beginning of a response that can't be completed. */
  | { type: 'break' }

/** Attempts that reach no target are not counted towards `maxAttempts`; this limit bounds the time spent on them. */
const MAX_UNSENT_ATTEMPTS = 4

/**
 * @name planAttempts
 * @category Routing
 * @summary Decides after each attempt whether to retry a request at another target, and otherwise how it ends.
 *
 * @description
 * A generator that yields the parameters of the next attempt, receives its result and returns the conclusion. A request
 * that a target may have run is sent again only if it is retryable. After an attempt that reached no target, the next one
 * takes nothing from the retry budget. Every other attempt counts towards `maxAttempts`, and the retry after it is taken
 * from the budget.
 *
 * @param policy - Retry limits of the request.
 * @returns How the request ends.
 *
 * @example
 * const plan = planAttempts({ isRetryable: true, maxAttempts: 2, tryTakeRetry: () => true })
 * plan.next().value // { excluded: new Set() }
 * plan.next({ type: 'lost', target: 't1', isStarted: false }).value // { excluded: new Set(['t1']) }
 */
export function * planAttempts (policy: RetryPolicy): Generator<NextAttempt, Conclusion, AttemptResult> {
  const excluded = new Set<string>()
  let deliveredAttempts = 0
  let unsentAttempts = 0
  let mayHaveRun = false
  let isStarted = false
  let lastEventId: string | undefined
  const tryStartRetry = (): boolean => deliveredAttempts < policy.maxAttempts && policy.tryTakeRetry()
  for (;;) {
    const result: AttemptResult = yield { excluded, lastEventId }
    if ('target' in result) excluded.add(result.target)
    switch (result.type) {
      case 'answered':
      case 'left': return { type: 'done' }
      case 'no-target': return concludeUnserved({ mayHaveRun, isStarted }, { type: 'refuse', reason: 'no-target' })
      case 'refused': return concludeUnserved({ mayHaveRun, isStarted }, { type: 'refuse', reason: 'no-room', retryAfterS: result.retryAfterS })
      case 'blocked': return concludeUnserved({ mayHaveRun, isStarted }, { type: 'refuse', reason: 'blocked', part: result.part, retryAfterS: result.retryAfterS })
      case 'expired': return concludeExpired(result, mayHaveRun)
      case 'unsent':
        if (++unsentAttempts >= MAX_UNSENT_ATTEMPTS) return concludeUnserved({ mayHaveRun, isStarted }, { type: 'refuse', reason: 'no-target' })
        break
      case 'not-run':
        deliveredAttempts++
        if (!tryStartRetry()) return concludeUnserved({ mayHaveRun, isStarted }, { type: 'refuse', reason: 'not-run', retryAfterS: result.retryAfterS })
        break
      case 'failure':
        deliveredAttempts++
        mayHaveRun = true
        if (!policy.isRetryable || !tryStartRetry()) return isStarted ? { type: 'break' } : { type: 'deliver' }
        break
      case 'lost':
        deliveredAttempts++
        mayHaveRun = true
        isStarted = result.isStarted
        lastEventId = result.lastEventId
        // A stream that has begun can only be resumed after an event with an id; a new run would repeat its events.
        if (!policy.isRetryable || (isStarted && lastEventId === undefined) || !tryStartRetry()) return isStarted ? { type: 'break' } : { type: 'fail', reason: 'lost' }
    }
  }
}

/** A refusal guarantees that no target ran the request, so it is returned only if this is known for every attempt. */
function concludeUnserved ({ mayHaveRun, isStarted }: { mayHaveRun: boolean, isStarted: boolean }, refusal: Conclusion): Conclusion {
  if (isStarted) return { type: 'break' }
  return mayHaveRun ? { type: 'fail', reason: 'lost' } : refusal
}

function concludeExpired ({ isSent, isStarted }: { isSent: boolean, isStarted: boolean }, mayHaveRun: boolean): Conclusion {
  if (isStarted) return { type: 'break' }
  return isSent || mayHaveRun ? { type: 'fail', reason: 'expired' } : { type: 'refuse', reason: 'expired' }
}
