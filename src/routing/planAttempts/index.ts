import type { AttemptResult } from '../AttemptResult'

interface AttemptFacts {
  /** Sending the request again can do no harm. */
  isRepeatable: boolean
  maxAttempts: number
  /** Asks for one repeat from the budget that all routers share. */
  tryTakeRepeat: () => boolean
}

interface AttemptOrder {
  /** Targets that this request must not be sent to again. */
  excluded: ReadonlySet<string>
  /** Id of the last event that the caller has; the next run goes on after it. */
  lastEventId?: string
}

type Conclusion =
  /** The answer was passed on, or the caller left. */
  | { type: 'done' }
  /** The answer of a target that reports a failure is passed on. */
  | { type: 'deliver' }
  /** The request has not run and never will. */
  | { type: 'refuse', reason: 'no-target' | 'no-room' | 'not-run' | 'expired', retryAfterS?: number }
  /** The request may have run, and its answer is lost. */
  | { type: 'fail', reason: 'lost' | 'expired' }
  /** The caller has the beginning of an answer that can't be completed. */
  | { type: 'break' }

/** Without an arrival at a target, another one may be tried; this bounds the time that it takes. */
const MAX_UNSENT_TRIES = 4

/**
 * @name planAttempts
 * @category Routing
 * @summary Decides after each attempt of a request whether another target may run it, and how it ends.
 *
 * @description
 * A generator: it yields orders for attempts, takes their results and returns the conclusion. Only requests that may
 * be repeated are sent again after a target may have run them. An attempt that reached no target costs nothing; every
 * other repeat is taken from the budget and counts towards `maxAttempts`.
 *
 * @param facts - What is known of the request.
 * @returns How the request ends.
 *
 * @example
 * const plan = planAttempts({ isRepeatable: true, maxAttempts: 2, tryTakeRepeat: () => true })
 * plan.next().value // { excluded: new Set() }
 * plan.next({ type: 'lost', target: 't1', isStarted: false }).value // { excluded: new Set(['t1']) }
 */
export function * planAttempts (facts: AttemptFacts): Generator<AttemptOrder, Conclusion, AttemptResult> {
  const excluded = new Set<string>()
  let arrivals = 0
  let unsent = 0
  let mayHaveRun = false
  let lastEventId: string | undefined
  const isRepeatAllowed = (): boolean => arrivals < facts.maxAttempts && facts.tryTakeRepeat()
  for (;;) {
    const result: AttemptResult = yield { excluded, lastEventId }
    if ('target' in result) excluded.add(result.target)
    switch (result.type) {
      case 'answered':
      case 'left': return { type: 'done' }
      case 'no-target': return concludeUnserved({ mayHaveRun, lastEventId }, { type: 'refuse', reason: 'no-target' })
      case 'refused': return concludeUnserved({ mayHaveRun, lastEventId }, { type: 'refuse', reason: 'no-room', retryAfterS: result.retryAfterS })
      case 'expired': return concludeExpired(result, mayHaveRun)
      case 'unsent':
        if (++unsent >= MAX_UNSENT_TRIES) return concludeUnserved({ mayHaveRun, lastEventId }, { type: 'refuse', reason: 'no-target' })
        break
      case 'not-run':
        arrivals++
        if (!isRepeatAllowed()) return concludeUnserved({ mayHaveRun, lastEventId }, { type: 'refuse', reason: 'not-run', retryAfterS: result.retryAfterS })
        break
      case 'failure':
        arrivals++
        mayHaveRun = true
        if (!facts.isRepeatable || !isRepeatAllowed()) return lastEventId === undefined ? { type: 'deliver' } : { type: 'break' }
        break
      case 'lost':
        arrivals++
        mayHaveRun = true
        lastEventId = result.lastEventId ?? lastEventId
        if (!facts.isRepeatable || !isRepeatAllowed()) return result.isStarted ? { type: 'break' } : { type: 'fail', reason: 'lost' }
    }
  }
}

/** A refusal promises that no target ran the request, so it is given only if that is known of every attempt. */
function concludeUnserved ({ mayHaveRun, lastEventId }: { mayHaveRun: boolean, lastEventId: string | undefined }, refusal: Conclusion): Conclusion {
  if (lastEventId !== undefined) return { type: 'break' }
  return mayHaveRun ? { type: 'fail', reason: 'lost' } : refusal
}

function concludeExpired ({ isSent, isStarted }: { isSent: boolean, isStarted: boolean }, mayHaveRun: boolean): Conclusion {
  if (isStarted) return { type: 'break' }
  return isSent || mayHaveRun ? { type: 'fail', reason: 'expired' } : { type: 'refuse', reason: 'expired' }
}
