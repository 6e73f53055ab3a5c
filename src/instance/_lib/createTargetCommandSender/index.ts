import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import { AppError } from '../../../contract/AppError'
import type { TargetAction } from '../../../contract/TargetAction'
import { TargetCommandSender } from '../../../target/TargetCommandSender'

interface CreateTargetCommandSenderOptions {
  /** Incarnation of this process. */
  sender: string
  propose: (record: unknown) => Promise<unknown>
}

/** Errors after which the target has certainly not received the command. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sender of commands to engines over HTTP that uses the clocks of this process. */
export function createTargetCommandSender ({ sender, propose }: CreateTargetCommandSenderOptions): TargetCommandSender {
  return new TargetCommandSender({
    sender,
    propose,
    post: sendCommand,
    getMonotonicMs: () => performance.now(),
    getWallClockMs: () => Date.now(),
    wait: ms => wait(ms)
  })
}

async function sendCommand (url: string, body: { id: string, action: TargetAction, fencingToken: number }, timeoutMs: number): Promise<{ isAccepted: boolean }> {
  try {
    const response = await request(`${url}/commands`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs)
    })
    await response.body.dump()
    if (response.statusCode >= 500) throw new AppError('target-failed', `The target answered ${response.statusCode}.`)
    return { isAccepted: response.statusCode < 300 }
  } catch (cause) {
    if (cause instanceof AppError) throw cause
    const isSent = !UNSENT_ERROR_CODES.has((cause as { code?: string }).code ?? '')
    throw new AppError('target-failed', 'The target did not answer the command.', { cause, outcome: isSent ? 'unknown' : 'not-run' })
  }
}
