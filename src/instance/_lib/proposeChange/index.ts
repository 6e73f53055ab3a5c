import { setTimeout as wait } from 'node:timers/promises'
import { AppError } from '../../../contract/AppError'
import { convertToAppError } from '../../../contract/convertToAppError'
import type { SettingsChange } from '../../../contract/SettingsChange'

const RETRY_TIMEOUT_MS = 5_000
const RETRY_DELAY_MS = 50

/**
 * Proposes a change and retries it while the log is unavailable, for example because the leader was lost before its
 * reply, which leaves open whether the change was accepted. The change id makes retries safe: a change that was accepted
 * returns its first result.
 *
 * @throws AppError of the last attempt; its outcome is `unknown` if any attempt may have been accepted.
 */
export async function proposeChange (log: { propose: (command: unknown) => Promise<unknown> }, change: SettingsChange): Promise<unknown> {
  const deadlineAtMs = performance.now() + RETRY_TIMEOUT_MS
  let isOutcomeUnknown = false
  while (true) {
    try {
      return await log.propose(change)
    } catch (thrown) {
      const error = convertToAppError(thrown)
      isOutcomeUnknown ||= error.outcome === 'unknown'
      const isRetryable = error.kind === 'control-unavailable' && performance.now() < deadlineAtMs
      if (!isRetryable) throw isOutcomeUnknown ? new AppError(error.kind, error.message, { cause: error, outcome: 'unknown', details: error.details }) : error
      await wait(RETRY_DELAY_MS)
    }
  }
}
