import { AppError } from '../AppError'

/**
 * @name convertToAppError
 * @category Contract
 * @summary Converts any thrown value to an AppError.
 *
 * @description
 * An AppError is returned unchanged. Any other value becomes an `internal` error with the value as its cause.
 *
 * @param thrown - The value that was thrown.
 * @returns The error with its kind.
 *
 * @example
 * convertToAppError(new TypeError('x')).kind // 'internal'
 */
export function convertToAppError (thrown: unknown): AppError {
  if (thrown instanceof AppError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new AppError('internal', message, { cause: thrown })
}
