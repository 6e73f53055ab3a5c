const RUNS = 3

/**
 * Measures the CPU time of this process for one run of the function, in milliseconds: the median of three runs after
 * one warm-up run.
 */
export async function measureCpuMs (run: () => Promise<void> | void): Promise<number> {
  await run()
  const times: number[] = []
  for (let count = 0; count < RUNS; count++) {
    const before = process.cpuUsage()
    await run()
    const { user, system } = process.cpuUsage(before)
    times.push((user + system) / 1_000)
  }
  return times.sort((a, b) => a - b)[Math.floor(RUNS / 2)]
}
