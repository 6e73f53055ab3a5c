import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import type { LogGroup } from '../../contract/LogGroup'

const RETRY_DELAY_MS = 50
const DEFAULT_TIMEOUT_MS = 5_000

/** A connection to one control replica, for example a LinkClient. */
interface ReplicaConnection {
  /** The open link, which names the replica's instance. */
  readonly link?: { peer: { instance: string } }
  request: (type: string, body: unknown, options: { timeoutMs?: number }) => Promise<unknown>
}

/**
 * @name LogClient
 * @category Log
 * @summary Proposes commands to the leader of a log group from any instance.
 *
 * @description
 * Tries the replicas in turn until one accepts the command. A replica that is not the leader refuses without appending;
 * the client then asks the replica that the refusal names as leader, or else the next one. If a replica was asked and
 * did not reply, the command may be committed: the call fails with `control-unavailable` and outcome `unknown`. Commands
 * that carry an id of their own may be proposed again.
 *
 * @param replicas - Connections to the control replicas.
 *
 * @example
 * const result = await client.propose('settings', change, { timeoutMs: 2000 })
 */
export class LogClient {
  readonly #replicas: readonly ReplicaConnection[]
  #preferredIndex = 0

  constructor (replicas: readonly ReplicaConnection[]) {
    this.#replicas = replicas
  }

  /**
   * @throws AppError `control-unavailable`: outcome `not-run` if no replica accepted the command, otherwise `unknown`.
   */
  async propose (group: LogGroup, command: unknown, options: { timeoutMs?: number } = {}): Promise<unknown> {
    const deadlineAtMs = performance.now() + (options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
    while (performance.now() < deadlineAtMs) {
      for (let tried = 0; tried < this.#replicas.length; tried++) {
        const timeoutMs = Math.max(1, deadlineAtMs - performance.now())
        const attempt = await this.#tryPropose({ group, command }, timeoutMs)
        if (attempt.isDone) return attempt.result
        this.#preferredIndex = this.#chooseNext(attempt.leader)
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
    throw new AppError('control-unavailable', 'No control replica accepted the command as leader within the time limit.')
  }

  #chooseNext (leader: unknown): number {
    const next = (this.#preferredIndex + 1) % this.#replicas.length
    const leaderIndex = this.#replicas.findIndex(({ link }) => link !== undefined && link.peer.instance === leader)
    return leaderIndex === -1 || leaderIndex === this.#preferredIndex ? next : leaderIndex
  }

  async #tryPropose (body: { group: LogGroup, command: unknown }, timeoutMs: number): Promise<{ isDone: boolean, result?: unknown, leader?: unknown }> {
    try {
      const result = await this.#replicas[this.#preferredIndex].request('propose', body, { timeoutMs })
      return { isDone: true, result }
    } catch (thrown) {
      const error = convertToAppError(thrown)
      if (error.outcome !== 'not-run') {
        // A replica that did not reply may be stopped or partitioned, so the next call begins with another replica.
        this.#preferredIndex = this.#chooseNext(undefined)
        throw error
      }
      return { isDone: false, leader: error.details?.leader }
    }
  }
}
