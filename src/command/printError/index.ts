import type { AppError } from '../../contract/AppError'
import { errorTable } from '../../contract/errorTable'

/**
 * @name printError
 * @category Command
 * @summary Writes an error to standard error and sets the exit code of its kind.
 *
 * @param error - The error.
 * @param options - `isJson`: whether the error is printed as JSON in the format of the HTTP API, instead of as text.
 *
 * @example
 * printError(new AppError('not-found', 'There is no target r9.'), { isJson: false })
 */
export function printError (error: AppError, options: { isJson: boolean }): void {
  const { kind, message, outcome, details } = error
  const text = options.isJson ? JSON.stringify({ error: { kind, message, outcome, details } }) : `${kind}: ${message} (outcome: ${outcome})`
  process.stderr.write(`${text}\n`)
  process.exitCode = errorTable[kind].exitCode
}
