import { AppError } from '../../../contract/AppError'
import { convertToAppError } from '../../../contract/convertToAppError'

const RETRY_DELAY_MS = 25

/** Retries an attempt that reached no leader, and so had no effect, until it succeeds or the timeout expires. */
export async function runUntilDeadline<T> (attempt: (remainingMs: number) => Promise<T>, timeoutMs: number): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs
  for (;;) {
    try {
      return await attempt(deadlineMs - performance.now())
    } catch (thrown) {
      const error = convertToAppError(thrown)
      const isRetryable = error.outcome === 'not-run' && ['not-leader', 'control-unavailable', 'shutting-down'].includes(error.kind)
      if (!isRetryable) throw error
      if (performance.now() + RETRY_DELAY_MS >= deadlineMs) {
        throw new AppError('control-unavailable', 'No leader accepted the request within the time limit.', { cause: error })
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
  }
}
