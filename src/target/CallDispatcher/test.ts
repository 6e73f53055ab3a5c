import { Readable } from 'node:stream'
import { CallDispatcher } from '.'
import { AppError } from '../../contract/AppError'
import type { AdmissionRequest } from '../../schedule/AdmissionRequest'
import { InFlightRequests } from '../InFlightRequests'
import type { TargetCall } from '../TargetCall'
import type { TargetRequest } from '../TargetRequest'

const TARGETS = ['t1', 't2', 't3']
const notSent = new AppError('target-failed', 'No connection.', { outcome: 'not-run' })
const lost = new AppError('target-failed', 'Lost.', { outcome: 'unknown' })

/**
 * `results` holds the error of each target that fails; the others respond 200. The gate grants a slot on the first
 * target that is not excluded.
 */
function createDispatcher (results: Record<string, AppError | undefined>, isTargetOpen = (_target: string) => true) {
  const sent: string[] = []
  const running = new InFlightRequests()
  const gate = {
    admit: async ({ excludedTargets }: AdmissionRequest) => {
      const target = TARGETS.find(name => !excludedTargets?.has(name))
      if (!target) throw new AppError('no-target', 'No target.')
      return { target, url: `http://${target}`, charge: () => {}, release: () => {} }
    },
    countWaiting: () => 0,
    countRunning: () => 0,
    stop: async () => {}
  }
  const targets = {
    dispatch: async ({ url }: TargetRequest) => {
      const name = url.slice('http://'.length)
      sent.push(name)
      const error = results[name]
      if (error) throw error
      return { status: 200, headers: {}, body: Readable.from([]) }
    }
  }
  return { dispatcher: new CallDispatcher({ gate, targets, running, isTargetOpen }), sent, running }
}

const createCall = (isIdempotent: boolean): TargetCall => ({
  account: 'a', service: 's', estimate: 1, deadlineAtMs: performance.now() + 10_000, signal: new AbortController().signal, isIdempotent, isCompletion: false, method: 'POST', path: '/', headers: {}, trace: { traceHeaders: {}, startHop: () => ({ stop: () => {} }) }
})

describe('CallDispatcher', () => {
  it.each<[string, boolean, Record<string, AppError>, string[], string]>([
    ['a lost booking', false, { t1: lost }, ['t1'], 'unknown'],
    ['a booking that was not sent', false, { t1: notSent }, ['t1', 't2'], 'complete'],
    ['a lost read', true, { t1: lost }, ['t1', 't2'], 'complete'],
    ['a booking lost at the second target', false, { t1: notSent, t2: lost }, ['t1', 't2'], 'unknown'],
    ['a read lost at the first target and not sent to the others', true, { t1: lost, t2: notSent, t3: notSent }, ['t1', 't2', 't3'], 'unknown'],
    ['a booking that no target took', false, { t1: notSent, t2: notSent, t3: notSent }, ['t1', 't2', 't3'], 'not-run']
  ])('retries %s only where that is safe and reports its outcome, so that "not-run" is never wrong and no booking runs twice', async (_case, isIdempotent, results, expected, outcome) => {
    const { dispatcher, sent, running } = createDispatcher(results)
    const reported = await dispatcher.dispatch(createCall(isIdempotent)).then(inFlight => {
      expect(running.count(inFlight.target)).toBe(1)
      inFlight.settle(1)
      return 'complete'
    }, error => error.outcome)
    expect([sent, reported]).toEqual([expected, outcome])
    expect(running.listTargets()).toEqual([])
  })

  it('stops retrying when the budget is used up, so that retries do not multiply the load of an outage', async () => {
    let attempts = 0
    // Every third attempt at t1 succeeds, so that its circuit stays closed.
    const results = { get t1 () { return ++attempts % 3 === 0 ? undefined : lost } }
    const { dispatcher, sent } = createDispatcher(results)
    for (let i = 0; i < 300; i++) await dispatcher.dispatch(createCall(true)).then(inFlight => inFlight.settle(1), () => {})
    const retries = sent.filter(target => target === 't2').length
    expect(retries).toBeGreaterThan(30)
    expect(retries).toBeLessThanOrEqual(10 + 30)
  })

  it('skips a target that stopped accepting work while the call waited for its slot', async () => {
    const { dispatcher, sent } = createDispatcher({}, target => target !== 't1')
    await dispatcher.dispatch(createCall(false))
    expect(sent).toEqual(['t2'])
  })
})
