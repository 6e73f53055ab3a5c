import type { AdmissionRequest } from '../AdmissionRequest'
import { FleetAdmissionGate } from '.'

const target = (name: string) => ({ name, service: 's', zone: 'z', url: `http://${name}`, slots: 1, fencing: 'ignored' as const })

function createGate (closed: string[] = []): FleetAdmissionGate {
  const targets = [target('e1'), target('e2')]
  const view = {
    listTargets: (service: string) => service === 's' ? targets : [],
    getTarget: (name: string) => targets.find(candidate => candidate.name === name),
    getAccount: (name: string) => ({ name, keyHashes: [], weight: 1, services: ['*'], maxQueued: 3 })
  }
  return new FleetAdmissionGate({ view, isTargetOpen: name => !closed.includes(name) })
}

const request = (options: Partial<AdmissionRequest> = {}): AdmissionRequest =>
  ({ account: 'x', service: 's', estimate: 10, deadlineAtMs: performance.now() + 60_000, ...options })
const grant = (id: number, options = {}) => ({ id, account: 'x', service: 's', target: 'e1', estimate: 10, ...options })

/**
 * Requests that a test leaves in a queue. `afterEach` aborts them: otherwise their deadline would pass while a later
 * test file runs, and the rejection would fail that file.
 */
let abandoned: Array<Promise<unknown>> = []
let abandonController = new AbortController()
const abandon = (gate: FleetAdmissionGate, options: Partial<AdmissionRequest> = {}) => abandoned.push(gate.admit(request({ signal: abandonController.signal, ...options })))

afterEach(async () => {
  abandonController.abort()
  await Promise.allSettled(abandoned)
  abandoned = []
  abandonController = new AbortController()
})

describe('FleetAdmissionGate', () => {
  it('starts queued requests in order, one for each grant, so that no request runs without a slot', async () => {
    const gate = createGate()
    const admitted: number[] = []
    const slots = [0, 1].map(async index => {
      const slot = await gate.admit(request())
      admitted.push(index)
      return slot
    })
    expect(gate.takeOperations()).toMatchObject([{ type: 'backlog', waiting: 2, estimate: 10 }])
    gate.acceptGrant(grant(1))
    const first = await slots[0]
    expect([admitted, gate.countWaiting(), gate.countRunning('e1'), first.url]).toEqual([[0], 1, 1, 'http://e1'])
    first.release({ cost: 7, isHealthy: true })
    first.release({ cost: 7, isHealthy: true })
    gate.acceptGrant(grant(2))
    await slots[1]
    expect(gate.takeOperations()).toEqual([{ type: 'release', id: 1, cost: 7, isHealthy: true }])
  })

  it.each([
    ['all targets are closed', createGate(['e1', 'e2']), request(), 'no-target'],
    ['the remaining target failed before', createGate(['e2']), request({ excludedTargets: new Set(['e1']) }), 'no-target'],
    ['the deadline has passed', createGate(), request({ deadlineAtMs: 0 }), 'deadline-exceeded'],
    ['the caller has left', createGate(), request({ signal: AbortSignal.abort() }), 'caller-gone']
  ])('refuses with the outcome not-run when %s', async (_case, gate, refused, kind) => {
    await expect(gate.admit(refused)).rejects.toMatchObject({ kind, outcome: 'not-run' })
    expect(gate.countWaiting()).toBe(0)
  })

  it('bounds the queue of an account and says when to retry, without a refusal for other accounts', async () => {
    const gate = createGate()
    for (let index = 0; index < 3; index++) abandon(gate)
    await expect(gate.admit(request())).rejects.toMatchObject({ kind: 'queue-full', outcome: 'not-run', retryAfterS: expect.any(Number) })
    abandon(gate, { account: 'y' })
    expect(gate.countWaiting()).toBe(4)
  })

  it('removes requests that expire or are aborted, and declines a grant that arrives afterwards', async () => {
    const gate = createGate()
    const abort = new AbortController()
    const expired = gate.admit(request({ deadlineAtMs: performance.now() + 10 }))
    const aborted = gate.admit(request({ signal: abort.signal }))
    abort.abort()
    await expect(aborted).rejects.toMatchObject({ kind: 'caller-gone', outcome: 'not-run' })
    await expect(expired).rejects.toMatchObject({ kind: 'deadline-exceeded', outcome: 'not-run' })
    gate.takeOperations()
    gate.acceptGrant(grant(1))
    expect(gate.takeOperations()).toMatchObject([{ type: 'decline', id: 1 }, { type: 'backlog', waiting: 0 }])
  })

  it('never gives a request a target that it excludes, and reports the exclusion', async () => {
    const gate = createGate()
    const slot = gate.admit(request({ excludedTargets: new Set(['e1']) }))
    expect(gate.takeOperations()).toMatchObject([{ excluded: ['e1'] }])
    gate.acceptGrant(grant(1))
    expect(gate.takeOperations()).toMatchObject([{ type: 'decline', id: 1 }, { type: 'backlog', waiting: 1 }])
    gate.acceptGrant(grant(2, { target: 'e2' }))
    expect((await slot).target).toBe('e2')
  })

  it('resolves stop only when queued and running requests have ended, also when the last one expires', async () => {
    const gate = createGate()
    const expired = gate.admit(request({ deadlineAtMs: performance.now() + 20 }))
    const stopped = gate.stop()
    await expect(gate.admit(request())).rejects.toMatchObject({ kind: 'shutting-down' })
    await expect(expired).rejects.toMatchObject({ kind: 'deadline-exceeded' })
    await stopped
    expect(gate.countWaiting()).toBe(0)
  })

  it('lists grants in use and queues for a new scheduler, with the cost so far', async () => {
    const gate = createGate()
    const slot = gate.admit(request())
    gate.acceptGrant(grant(4, { lentBy: { zone: 'b', id: 9 } }))
    ;(await slot).charge(50)
    abandon(gate)
    const { held, backlog } = gate.createReport()
    expect(held).toEqual([{ id: 4, account: 'x', service: 's', target: 'e1', charged: 50, lentBy: { zone: 'b', id: 9 } }])
    expect(backlog).toMatchObject([{ account: 'x', waiting: 1 }])
    expect(gate.lastGrantId).toBe(4)
  })
})
