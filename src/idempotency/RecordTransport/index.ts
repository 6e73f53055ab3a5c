/**
 * @name RecordTransport
 * @category Idempotency
 * @summary How the router's side reaches the control replicas.
 *
 * @description
 * `propose` fails with outcome `not-run` if the command can't have been taken, otherwise with `unknown`. `waitForRecord`
 * resolves when the call no longer runs, or after the time.
 *
 * @example
 * const transport: RecordTransport = { propose: command => log.propose(command), waitForRecord: async () => {} }
 */
export interface RecordTransport {
  propose: (command: unknown, options: { timeoutMs: number }) => Promise<unknown>
  waitForRecord: (id: string, waitMs: number) => Promise<void>
}
