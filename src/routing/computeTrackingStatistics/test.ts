import { computeTrackingStatistics } from '.'

const request = { id: '1', callId: 'c', account: 'a', service: 's', zone: 'z', parts: [], promptTokens: 1, outputTokens: 1, objectiveMs: 600, excluded: [] }
const createCall = (startedMs: number, state: { isAdopted?: boolean, isRead?: boolean } = {}) => ({ request, target: 't1', readMs: 5, isRead: false, isAdopted: false, startedMs, ...state })

describe('computeTrackingStatistics', () => {
  // Guards against a count of running calls that grows without a sign of whether the load or lost reports make it grow.
  it('counts calls by the way in which the scheduler learnt of them, and gives the ages of the oldest', () => {
    const calls = [createCall(900, { isRead: true }), createCall(400), createCall(0, { isAdopted: true, isRead: true })]
    expect(computeTrackingStatistics(calls, 1_000)).toEqual({ placed: 2, adopted: 1, unread: 1, oldestMs: 1_000, p99Ms: 1_000, oldestUnreadMs: 600 })
  })

  it('gives the age that one in a hundred calls exceeds', () => {
    const calls = Array.from({ length: 200 }, (_, i) => createCall(i))
    expect(computeTrackingStatistics(calls, 200)).toMatchObject({ oldestMs: 200, p99Ms: 198 })
  })

  it('gives zeros without calls', () => {
    expect(computeTrackingStatistics([], 1_000)).toEqual({ placed: 0, adopted: 0, unread: 0, oldestMs: 0, p99Ms: 0, oldestUnreadMs: 0 })
  })
})
