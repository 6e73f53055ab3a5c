const POLL_MS = 20

/** Polls until the check returns a value other than undefined or false, and returns it. A check that throws is repeated too. */
export async function waitFor<T> (what: string, check: () => Promise<T | undefined | false> | T | undefined | false, timeoutMs = 20_000): Promise<T> {
  const endAtMs = performance.now() + timeoutMs
  let reason = 'the condition does not hold'
  while (performance.now() < endAtMs) {
    try {
      const value = await check()
      if (value !== undefined && value !== false) return value
    } catch (error) {
      reason = String(error)
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
  throw new Error(`Waited ${timeoutMs} ms for ${what}: ${reason}`)
}
