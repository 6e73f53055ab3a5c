import { waitForObservers } from '.'
import type { ObserverReport } from '../../contract/ObserverReport'

const report = (instance: string, offset: number, ageMs = 0, incarnation = 'a'): ObserverReport => ({ instance, incarnation, zone: 'z', offset, ageMs })

describe('waitForObservers', () => {
  it('lists the observers that have not reported the offset, so that an operator does not assume that the change is in effect', async () => {
    const result = await waitForObservers({ offset: 5, timeoutMs: 60, isSettled: () => true, collectReports: async () => [report('r1', 5), report('r2', 4)] })
    expect(result).toEqual({ applied: ['r1'], behind: ['r2'], isComplete: true })
  })

  it('returns as soon as all observers have reported, using the newest of the reports from several replicas', async () => {
    let offset = 3
    const collectReports = async () => [report('r1', offset++), report('r1', 2)]
    expect(await waitForObservers({ offset: 5, timeoutMs: 10_000, isSettled: () => true, collectReports })).toEqual({ applied: ['r1'], behind: [], isComplete: true })
  })

  it('uses the newer incarnation of a restarted observer although its offset is lower', async () => {
    const collectReports = async () => [report('r1', 9, 3000, 'old'), report('r1', 1, 10, 'new')]
    expect(await waitForObservers({ offset: 5, timeoutMs: 0, isSettled: () => true, collectReports })).toEqual({ applied: [], behind: ['r1'], isComplete: true })
  })

  it('keeps waiting while observers may not have reported yet, so that a replica that has just started does not report a change as in effect', async () => {
    let polls = 0
    const collectReports = async () => polls++ < 2 ? [] : [report('r1', 5)]
    expect(await waitForObservers({ offset: 5, timeoutMs: 10_000, isSettled: () => polls > 2, collectReports })).toEqual({ applied: ['r1'], behind: [], isComplete: true })
    expect(await waitForObservers({ offset: 5, timeoutMs: 0, isSettled: () => false, collectReports: async () => [] })).toEqual({ applied: [], behind: [], isComplete: false })
  })
})
