/**
 * @name RecordTransport
 * @category Idempotency
 * @summary Transport from a router to the control replicas.
 *
 * @example
 * const transport: RecordTransport = { propose: command => log.propose(command), waitForRecord: async () => {} }
 */
export interface RecordTransport {
  /** Fails with outcome `not-run` if the command was certainly not accepted, otherwise with `unknown`. */
  propose: (command: unknown, options: { timeoutMs: number }) => Promise<unknown>
  /** Resolves when the call is no longer running, or after the timeout. */
  waitForRecord: (id: string, waitMs: number) => Promise<void>
}
