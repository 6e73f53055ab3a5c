/**
 * @name runUntilSignal
 * @category Command
 * @summary Waits for SIGTERM, SIGINT or SIGHUP, then closes the process gracefully.
 *
 * @description
 * Further signals are ignored, so that they can't interrupt running requests.
 *
 * @param close - Function that stops the process gracefully.
 *
 * @example
 * await runUntilSignal(() => router.close())
 */
export async function runUntilSignal (close: () => Promise<void>): Promise<void> {
  await new Promise<void>(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) process.on(signal, () => resolve())
  })
  await close()
}
