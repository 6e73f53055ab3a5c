import { ObserverTable } from '.'

const report = (instance: string, incarnation: string, offset: number, ageMs = 0) => ({ instance, incarnation, zone: 'z', offset, ageMs })

describe('ObserverTable', () => {
  it('keeps the highest offset when reports of one incarnation arrive out of order', () => {
    const table = new ObserverTable({ liveMs: 100 })
    table.record(report('r1', 'a', 7), 0)
    table.record(report('r1', 'a', 5), 1)
    expect(table.listBehind(7, 1)).toEqual([])
  })

  it('accepts the lower offset of a restarted instance, so that a cold start does not count as up to date', () => {
    const table = new ObserverTable({ liveMs: 100 })
    table.record(report('r1', 'a', 7), 0)
    table.record(report('r1', 'b', 2), 1)
    table.record(report('r1', 'a', 7, 50), 2)
    expect(table.listBehind(7, 2)).toEqual(['r1'])
  })

  it('expires an observer that has not reported within the time limit, including the age that a relay reports', () => {
    const table = new ObserverTable({ liveMs: 100 })
    table.record(report('r1', 'a', 1), 0)
    table.record(report('r2', 'a', 1, 90), 0)
    expect(table.listBehind(2, 50)).toEqual(['r1'])
    expect(table.listBehind(2, 101)).toEqual([])
  })

  it('returns each report only once, so that a relay does not resend all reports with every poll', () => {
    const table = new ObserverTable({ liveMs: 5_000 })
    const createReport = (instance: string, offset: number) => ({ instance, incarnation: 'i1', zone: 'z1', offset, ageMs: 0 })
    table.record(createReport('r1', 1), 0)
    table.record(createReport('r2', 1), 0)
    expect(table.takeChanged(0).map(({ instance }) => instance)).toEqual(['r1', 'r2'])
    table.record(createReport('r2', 2), 10)
    expect(table.takeChanged(10)).toEqual([createReport('r2', 2)])
    expect(table.takeChanged(10)).toEqual([])
  })
})
