import type { ServerResponse } from 'node:http'
import { AppError } from '../../../contract/AppError'
import { convertToAppError } from '../../../contract/convertToAppError'

interface RunningCallsOptions {
  /** Whether new calls must be refused, because the router stops. */
  isRefusing: () => boolean
}

const RETRY_AFTER_S = 0.5
/** Part of the time for final responses at a stop; a call that knows its outcome by then reports it. */
const SETTLE_MS = 100

/** The calls that a router serves. At the limit of a stop they end with responses that say whether they may have run. */
export class RunningCalls {
  readonly #options: RunningCallsOptions
  readonly #interruptions = new Set<() => void>()

  constructor (options: RunningCallsOptions) {
    this.#options = options
  }

  /**
   * Runs a call. The signal aborts when the caller disconnects or the call is interrupted.
   *
   * @throws AppError of the call; `shutting-down` or `outcome-unknown` if it was refused or interrupted.
   */
  async run (response: ServerResponse, call: (signal: AbortSignal) => Promise<void>): Promise<void> {
    this.assertAccepting()
    const abort = new AbortController()
    response.once('close', () => {
      if (!response.writableFinished) abort.abort(new AppError('caller-gone', 'The caller closed the connection.'))
    })
    let isInterrupted = false
    let stop = (): void => {}
    const interruption = new Promise<never>((_resolve, reject) => {
      stop = () => {
        isInterrupted = true
        abort.abort(createShutdownError())
        setTimeout(() => reject(createUnknownError()), SETTLE_MS)
      }
    })
    interruption.catch(() => {})
    this.#interruptions.add(stop)
    const running = call(abort.signal)
    // A call that was interrupted may go on, and fail, after its response.
    running.catch(() => {})
    try {
      await Promise.race([running, interruption])
    } catch (thrown) {
      throw isInterrupted && !response.headersSent ? convertInterrupted(thrown) : thrown
    } finally {
      this.#interruptions.delete(stop)
    }
  }

  /**
   * @throws AppError `shutting-down` if new calls are refused.
   */
  assertAccepting (): void {
    if (this.#options.isRefusing()) throw createShutdownError()
  }

  /** Resolves with the value; rejects if the call is interrupted before. */
  resolveUnlessInterrupted<T> (value: Promise<T>, signal: AbortSignal): Promise<T> {
    return new Promise((resolve, reject) => {
      value.then(resolve, reject)
      signal.addEventListener('abort', () => {
        if (convertToAppError(signal.reason).kind === 'shutting-down') reject(signal.reason)
      }, { once: true })
    })
  }

  /** Ends all calls, because the router stops. */
  stop (): void {
    for (const stop of this.#interruptions) stop()
  }
}

function createShutdownError (cause?: unknown): AppError {
  return new AppError('shutting-down', 'The request has not run: this router is stopping.', { cause, retryAfterS: RETRY_AFTER_S })
}

function createUnknownError (cause?: unknown): AppError {
  return new AppError('outcome-unknown', 'The request may have run: this router stopped before it received the response.', { cause })
}

function convertInterrupted (thrown: unknown): AppError {
  return convertToAppError(thrown).outcome === 'not-run' ? createShutdownError(thrown) : createUnknownError(thrown)
}
