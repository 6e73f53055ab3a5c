const POLL_MS = 20

/** Polls until the check returns a value other than undefined or false, and returns it. A check that throws is repeated too. */
export async function waitFor<T> (what: string, check: () => Promise<T | undefined | false> | T | undefined | false, timeoutMs = 20_000): Promise<T> {
  const endAtMs = performance.now() + timeoutMs
  let lastError = 'none'
  while (performance.now() < endAtMs) {
    try {
      const value = await check()
      if (value !== undefined && value !== false) return value
    } catch (error) {
      lastError = String(error)
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
  throw new Error(`Waited ${timeoutMs} ms for ${what}, but the check did not succeed; last error that it threw: ${lastError}`)
}
