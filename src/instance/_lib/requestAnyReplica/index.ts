import { AppError } from '../../../contract/AppError'
import { convertToAppError } from '../../../contract/convertToAppError'
import type { LinkClient } from '../../../link/LinkClient'

/**
 * Sends a request to one control replica after another until one replies without an error. Each gets half of the time
 * that remains. Only for requests that are safe to repeat.
 *
 * @throws AppError `control-unavailable` if no replica did so in time; its cause is the last error.
 */
export async function requestAnyReplica (replicas: readonly LinkClient[], message: { type: string, body: unknown }, timeoutMs: number): Promise<unknown> {
  const deadlineAtMs = performance.now() + timeoutMs
  let cause: AppError | undefined
  for (const replica of replicas) {
    const remainingMs = deadlineAtMs - performance.now()
    if (remainingMs <= 0) break
    try {
      return await replica.request(message.type, message.body, { timeoutMs: remainingMs / 2 })
    } catch (thrown) {
      cause = convertToAppError(thrown)
    }
  }
  throw new AppError('control-unavailable', 'No control replica handled the request without an error in time.', { cause })
}
