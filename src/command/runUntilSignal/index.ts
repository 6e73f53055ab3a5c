interface RunningProcess {
  close: () => Promise<void>
}

const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const

/**
 * @name runUntilSignal
 * @category Command
 * @summary Runs a process until SIGTERM, SIGINT or SIGHUP, then closes it gracefully.
 *
 * @description
 * Signals are handled from the beginning of the start on; one that arrives before its end stops the process once it has
 * started. Further signals are ignored, so that they can't interrupt running requests, and so are errors of the standard
 * streams: after the hang-up of a terminal, log lines can't be written any more.
 *
 * @param start - Starts the process.
 *
 * @example
 * await runUntilSignal(() => startRouter(settings))
 */
export async function runUntilSignal (start: () => Promise<RunningProcess>): Promise<void> {
  for (const stream of [process.stdout, process.stderr]) stream.on('error', () => {})
  const stopped = new Promise<void>(resolve => {
    for (const signal of STOP_SIGNALS) process.on(signal, () => resolve())
  })
  const running = await start()
  await stopped
  await running.close()
}
