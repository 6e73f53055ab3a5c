import type { AttemptResult } from '../AttemptResult'
import { planAttempts } from '.'

interface Options { isRepeatable?: boolean, maxAttempts?: number, budget?: number }

function conclude (results: AttemptResult[], { isRepeatable = false, maxAttempts = 2, budget = 10 }: Options = {}) {
  let left = budget
  const plan = planAttempts({ isRepeatable, maxAttempts, tryTakeRepeat: () => left-- > 0 })
  plan.next()
  const steps = results.map(result => plan.next(result))
  return steps.at(-1)
}

const lost: AttemptResult = { type: 'lost', target: 'a', isStarted: false }

describe('planAttempts', () => {
  // Guards against a request that runs twice.
  it('never sends a request again that may have run and must not be repeated', () => {
    expect(conclude([lost])).toEqual({ done: true, value: { type: 'fail', reason: 'lost' } })
    expect(conclude([{ type: 'failure', target: 'a' }])).toEqual({ done: true, value: { type: 'deliver' } })
  })

  // Guards against "not run" as the answer for a request of which a target may have run a part.
  it('does not claim that a request has not run after it was sent', () => {
    expect(conclude([lost, { type: 'no-target' }], { isRepeatable: true })?.value).toEqual({ type: 'fail', reason: 'lost' })
    expect(conclude([lost, { type: 'not-run', target: 'b' }], { isRepeatable: true })?.value).toEqual({ type: 'fail', reason: 'lost' })
    expect(conclude([lost, { type: 'expired', isSent: false, isStarted: false }], { isRepeatable: true })?.value).toEqual({ type: 'fail', reason: 'expired' })
    expect(conclude([{ type: 'not-run', target: 'b' }, { type: 'no-target' }])?.value).toEqual({ type: 'refuse', reason: 'no-target' })
  })

  it('sends a request that no target got to others, without a repeat from the budget', () => {
    const unsent = ['a', 'b', 'c'].map((target): AttemptResult => ({ type: 'unsent', target }))
    expect(conclude(unsent, { budget: 0, maxAttempts: 1 })).toEqual({ done: false, value: { excluded: new Set(['a', 'b', 'c']), lastEventId: undefined } })
    expect(conclude([...unsent, { type: 'unsent', target: 'd' }])?.value).toEqual({ type: 'refuse', reason: 'no-target' })
  })

  // Guards against more targets for a request than its route allows, and against retries beyond the budget.
  it('repeats only within the attempts of the route and the budget', () => {
    expect(conclude([lost], { isRepeatable: true })?.done).toBe(false)
    expect(conclude([lost, { type: 'failure', target: 'b' }], { isRepeatable: true })?.value).toEqual({ type: 'deliver' })
    expect(conclude([lost], { isRepeatable: true, budget: 0 })?.value).toEqual({ type: 'fail', reason: 'lost' })
    expect(conclude([{ type: 'not-run', target: 'a', retryAfterS: 1 }], { maxAttempts: 1 })?.value).toEqual({ type: 'refuse', reason: 'not-run', retryAfterS: 1 })
  })

  // Guards against a stream that begins anew, or ends as if it were complete.
  it('goes on after the last event of a broken stream, or breaks it off', () => {
    const broken: AttemptResult = { type: 'lost', target: 'a', isStarted: true, lastEventId: '7' }
    expect(conclude([broken], { isRepeatable: true })?.value).toEqual({ excluded: new Set(['a']), lastEventId: '7' })
    expect(conclude([broken, { type: 'not-run', target: 'b' }], { isRepeatable: true })?.value).toEqual({ type: 'break' })
    expect(conclude([broken])?.value).toEqual({ type: 'break' })
    expect(conclude([broken, { type: 'no-target' }], { isRepeatable: true })?.value).toEqual({ type: 'break' })
  })

  it('passes on when there may be room', () => {
    expect(conclude([{ type: 'refused', retryAfterS: 2 }])?.value).toEqual({ type: 'refuse', reason: 'no-room', retryAfterS: 2 })
    expect(conclude([lost, { type: 'refused', retryAfterS: 2 }], { isRepeatable: true })?.value).toEqual({ type: 'fail', reason: 'lost' })
  })

  it('tells by the time-out whether the request was sent', () => {
    expect(conclude([{ type: 'expired', isSent: false, isStarted: false }])?.value).toEqual({ type: 'refuse', reason: 'expired' })
    expect(conclude([{ type: 'expired', isSent: true, isStarted: false }])?.value).toEqual({ type: 'fail', reason: 'expired' })
    expect(conclude([{ type: 'expired', isSent: true, isStarted: true }])?.value).toEqual({ type: 'break' })
  })
})
