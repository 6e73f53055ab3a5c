/**
 * @name runUntilSignal
 * @category Command
 * @summary Runs a process until SIGTERM or SIGINT, then closes it.
 *
 * @description
 * A second signal is ignored, so that it can't cut running requests.
 *
 * @param close - Stops the process gracefully.
 *
 * @example
 * await runUntilSignal(() => router.close())
 */
export async function runUntilSignal (close: () => Promise<void>): Promise<void> {
  await new Promise<void>(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => resolve())
  })
  await close()
}
