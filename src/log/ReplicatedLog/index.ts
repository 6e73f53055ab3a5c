/**
 * @name ReplicatedLog
 * @category Log
 * @summary Interface of one log group for its users.
 *
 * @example
 * const result = await log.propose(change)
 */
export interface ReplicatedLog {
  /**
   * Resolves with the state machine's result once the command is committed and applied. Fails with `not-leader` (nothing
   * appended) or `control-unavailable` (the outcome is in the error).
   */
  propose: (command: unknown) => Promise<unknown>
  /** Resolves once every change that was accepted before the call is applied on this replica. */
  confirmRead: () => Promise<void>
  readonly commitOffset: number
  /** Milliseconds since this replica was known to hold every committed change; Infinity if it never was. */
  readonly ageMs: number
  /** Committed entries after an offset, or undefined if the first of them have been truncated. */
  listEntries: (afterOffset: number, maxEntries: number) => Array<{ offset: number, command: unknown }> | undefined
  /** Resolves when the commit offset exceeds the given one, or after the timeout. */
  waitForCommit: (afterOffset: number, waitMs: number) => Promise<void>
}
