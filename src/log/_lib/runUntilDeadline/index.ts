import { AppError } from '../../../contract/AppError'
import { convertToAppError } from '../../../contract/convertToAppError'

const RETRY_DELAY_MS = 25

/** Repeats an attempt that found no leader, and so changed nothing, until it succeeds or the time is over. */
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
        throw new AppError('control-unavailable', 'The log has no leader.', { cause: error })
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
  }
}
