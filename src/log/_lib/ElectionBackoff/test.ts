import { timing } from '../timing'
import { ElectionBackoff } from '.'

const { minElectionTimeoutMs, maxElectionTimeoutMs, stableLeaderMs, maxElectionBackoff } = timing

describe('ElectionBackoff', () => {
  // Guards against leaders that are replaced before they have worked through what their clients report at first: after a
  // restart of all replicas six leaders of about a second each followed each other while no prompt was placed.
  it('waits longer for each leader that follows another one soon', () => {
    const backoff = new ElectionBackoff(() => 0)
    const timeouts = [1, 2, 3, 4, 5].map(term => {
      backoff.recordLeader(term, term * 1_000)
      return backoff.computeTimeout()
    })
    expect(timeouts).toEqual([1, 2, maxElectionBackoff, maxElectionBackoff, maxElectionBackoff].map(factor => factor * minElectionTimeoutMs))
    expect(backoff.maxTimeoutMs).toBe(maxElectionBackoff * maxElectionTimeoutMs)
  })

  // Guards against a fleet without a scheduler for seconds after a single failure.
  it('waits no longer than usual for the successor of a leader that was stable', () => {
    const backoff = new ElectionBackoff(() => 0)
    for (const term of [1, 2, 3]) backoff.recordLeader(term, 0)
    backoff.recordLeader(3, stableLeaderMs - 1)
    expect(backoff.computeTimeout()).toBe(maxElectionBackoff * minElectionTimeoutMs)
    backoff.recordLeader(3, stableLeaderMs)
    expect(backoff.computeTimeout()).toBe(minElectionTimeoutMs)
    backoff.recordLeader(4, 2 * stableLeaderMs)
    expect(backoff.computeTimeout()).toBe(minElectionTimeoutMs)
  })
})
