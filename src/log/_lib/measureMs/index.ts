/** Runs a task and returns how long it took, in milliseconds. */
export async function measureMs (run: () => Promise<void>): Promise<number> {
  const startedAtMs = performance.now()
  await run()
  return performance.now() - startedAtMs
}
