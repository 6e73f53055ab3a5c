import { timing } from '../timing'

/**
 * Lengthens the election timeouts while leaders change in quick succession. A new leader is busy: all its clients report to
 * it, and its code has not run yet. With the shortest timeouts a leader that is busy for half a second is replaced by one
 * that is as busy, and no leader ever gets through its backlog. A single failure of a leader is still noticed at once.
 */
export class ElectionBackoff {
  readonly #random: () => number
  #term: number | undefined
  #sinceMs = -Infinity
  #factor = 1

  /** `random`: returns random numbers in [0, 1), so that few replicas time out together. */
  constructor (random: () => number) {
    this.#random = random
  }

  /** Longest time that a follower waits for the leader, and the leader for replies of a majority. */
  get maxTimeoutMs (): number {
    return this.#factor * timing.maxElectionTimeoutMs
  }

  computeTimeout (): number {
    const { minElectionTimeoutMs, maxElectionTimeoutMs } = timing
    return this.#factor * (minElectionTimeoutMs + this.#random() * (maxElectionTimeoutMs - minElectionTimeoutMs))
  }

  /** Records the term of a leader, each time that it is known to lead. */
  recordLeader (term: number, nowMs: number): void {
    const isStable = nowMs - this.#sinceMs >= timing.stableLeaderMs
    if (isStable) this.#factor = 1
    if (term === this.#term) return
    if (this.#term !== undefined && !isStable) this.#factor = Math.min(2 * this.#factor, timing.maxElectionBackoff)
    this.#term = term
    this.#sinceMs = nowMs
  }
}
