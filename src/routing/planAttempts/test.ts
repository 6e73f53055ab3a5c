import type { AttemptResult } from '../AttemptResult'
import { planAttempts } from '.'

interface Options { isRetryable?: boolean, maxAttempts?: number, budget?: number }

function getLastStep (results: AttemptResult[], { isRetryable = false, maxAttempts = 2, budget = 10 }: Options = {}) {
  let left = budget
  const plan = planAttempts({ isRetryable, maxAttempts, tryTakeRetry: () => left-- > 0 })
  plan.next()
  const steps = results.map(result => plan.next(result))
  return steps.at(-1)
}

const lost: AttemptResult = { type: 'lost', target: 'a', isStarted: false }

describe('planAttempts', () => {
  // Guards against running a non-retryable request twice.
  it('never sends a non-retryable request again after a target may have run it', () => {
    expect(getLastStep([lost])).toEqual({ done: true, value: { type: 'fail', reason: 'lost' } })
    expect(getLastStep([{ type: 'failure', target: 'a' }])).toEqual({ done: true, value: { type: 'deliver' } })
  })

  // Guards against reporting "not run" for a request that a target may have run at least in part.
  it('does not report a request as not run after a target may have run it', () => {
    expect(getLastStep([lost, { type: 'no-target' }], { isRetryable: true })?.value).toEqual({ type: 'fail', reason: 'lost' })
    expect(getLastStep([lost, { type: 'not-run', target: 'b' }], { isRetryable: true })?.value).toEqual({ type: 'fail', reason: 'lost' })
    expect(getLastStep([lost, { type: 'expired', isSent: false, isStarted: false }], { isRetryable: true })?.value).toEqual({ type: 'fail', reason: 'expired' })
    expect(getLastStep([{ type: 'not-run', target: 'b' }, { type: 'no-target' }])?.value).toEqual({ type: 'refuse', reason: 'no-target' })
  })

  it('tries another target if the request did not reach the first one, without taking a retry from the budget', () => {
    const unsent = ['a', 'b', 'c'].map((target): AttemptResult => ({ type: 'unsent', target }))
    expect(getLastStep(unsent, { budget: 0, maxAttempts: 1 })).toEqual({ done: false, value: { excluded: new Set(['a', 'b', 'c']), lastEventId: undefined } })
    expect(getLastStep([...unsent, { type: 'unsent', target: 'd' }])?.value).toEqual({ type: 'refuse', reason: 'no-target' })
  })

  // Guards against more attempts than the route allows and against retries beyond the budget.
  it('retries only within the maximum attempts of the route and the retry budget', () => {
    expect(getLastStep([lost], { isRetryable: true })?.done).toBe(false)
    expect(getLastStep([lost, { type: 'failure', target: 'b' }], { isRetryable: true })?.value).toEqual({ type: 'deliver' })
    expect(getLastStep([lost], { isRetryable: true, budget: 0 })?.value).toEqual({ type: 'fail', reason: 'lost' })
    expect(getLastStep([{ type: 'not-run', target: 'a', retryAfterS: 1 }], { maxAttempts: 1 })?.value).toEqual({ type: 'refuse', reason: 'not-run', retryAfterS: 1 })
  })

  // Guards against a stream that restarts from its beginning, or that is cut off and ends as if it were complete.
  it('resumes an interrupted stream after its last event, or breaks it off', () => {
    const broken: AttemptResult = { type: 'lost', target: 'a', isStarted: true, lastEventId: '7' }
    expect(getLastStep([broken], { isRetryable: true })?.value).toEqual({ excluded: new Set(['a']), lastEventId: '7' })
    expect(getLastStep([broken, { type: 'not-run', target: 'b' }], { isRetryable: true })?.value).toEqual({ type: 'break' })
    expect(getLastStep([broken])?.value).toEqual({ type: 'break' })
    expect(getLastStep([broken, { type: 'no-target' }], { isRetryable: true })?.value).toEqual({ type: 'break' })
  })

  // Guards against a stream that contains its events twice, or the error of another target.
  it('breaks off a stream that began with events without ids, whatever could follow', () => {
    const broken: AttemptResult = { type: 'lost', target: 'a', isStarted: true }
    expect(getLastStep([broken], { isRetryable: true })?.value).toEqual({ type: 'break' })
    expect(getLastStep([{ ...broken, lastEventId: '7' }, { type: 'failure', target: 'b' }], { isRetryable: true })?.value).toEqual({ type: 'break' })
  })

  it('passes on the time after which a retry may find capacity', () => {
    expect(getLastStep([{ type: 'refused', retryAfterS: 2 }])?.value).toEqual({ type: 'refuse', reason: 'no-room', retryAfterS: 2 })
    expect(getLastStep([lost, { type: 'refused', retryAfterS: 2 }], { isRetryable: true })?.value).toEqual({ type: 'fail', reason: 'lost' })
  })

  it('distinguishes time-outs before and after the request was sent', () => {
    expect(getLastStep([{ type: 'expired', isSent: false, isStarted: false }])?.value).toEqual({ type: 'refuse', reason: 'expired' })
    expect(getLastStep([{ type: 'expired', isSent: true, isStarted: false }])?.value).toEqual({ type: 'fail', reason: 'expired' })
    expect(getLastStep([{ type: 'expired', isSent: true, isStarted: true }])?.value).toEqual({ type: 'break' })
  })

  // Guards against a retry that crashes one more target, and against "not run" for a request that crashed one before.
  it('refuses a request with a blocked part at once, as not run only if no target may have run it', () => {
    const blocked: AttemptResult = { type: 'blocked', part: 'p', crashes: 2, retryAfterS: 9 }
    expect(getLastStep([blocked], { isRetryable: true })).toEqual({ done: true, value: { type: 'refuse', reason: 'blocked', part: 'p', retryAfterS: 9 } })
    expect(getLastStep([{ type: 'unsent', target: 'a' }, blocked], { isRetryable: true })?.value).toMatchObject({ type: 'refuse', reason: 'blocked' })
    expect(getLastStep([lost, blocked], { isRetryable: true })?.value).toEqual({ type: 'fail', reason: 'lost' })
    expect(getLastStep([{ type: 'lost', target: 'a', isStarted: true, lastEventId: '7' }, blocked], { isRetryable: true })?.value).toEqual({ type: 'break' })
  })
})
