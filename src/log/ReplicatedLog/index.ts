/**
 * @name ReplicatedLog
 * @category Log
 * @summary One group of the ordered log, as its users see it.
 *
 * @description
 * `propose` resolves with the state machine's result once the command is committed and applied. It fails with
 * `not-leader` (nothing appended) or `control-unavailable` (outcome in the error). `confirmRead` resolves once every
 * change that was accepted before the call is applied here.
 *
 * @example
 * const result = await log.propose(change)
 */
export interface ReplicatedLog {
  propose: (command: unknown) => Promise<unknown>
  confirmRead: () => Promise<void>
  readonly commitOffset: number
  /** Milliseconds since this replica was known to hold every committed change; Infinity if it never was. */
  readonly ageMs: number
  /** Committed entries after an offset, or undefined if they are truncated. */
  listEntries: (afterOffset: number, maxEntries: number) => Array<{ offset: number, command: unknown }> | undefined
  /** Resolves when the commit offset exceeds the given one, or after the time. */
  waitForCommit: (afterOffset: number, waitMs: number) => Promise<void>
}
