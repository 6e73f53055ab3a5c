import { setTimeout as wait } from 'node:timers/promises'
import { AppError } from '../../../contract/AppError'
import { convertToAppError } from '../../../contract/convertToAppError'
import type { SettingsChange } from '../../../contract/SettingsChange'

const LIMIT_MS = 5_000
const RETRY_DELAY_MS = 50

/**
 * Proposes a change, and proposes it again while it is not known whether it was accepted, for example because the leader
 * was lost before its reply. The change id makes that safe: a change that was accepted returns its first result.
 *
 * @throws AppError of the last attempt; its outcome is `unknown` if any attempt may have been accepted.
 */
export async function proposeChange (log: { propose: (command: unknown) => Promise<unknown> }, change: SettingsChange): Promise<unknown> {
  const deadlineAtMs = performance.now() + LIMIT_MS
  let isUncertain = false
  while (true) {
    try {
      return await log.propose(change)
    } catch (thrown) {
      const error = convertToAppError(thrown)
      isUncertain ||= error.outcome === 'unknown'
      const isRetryable = error.kind === 'control-unavailable' && performance.now() < deadlineAtMs
      if (!isRetryable) throw isUncertain ? new AppError(error.kind, error.message, { cause: error, outcome: 'unknown', details: error.details }) : error
      await wait(RETRY_DELAY_MS)
    }
  }
}
