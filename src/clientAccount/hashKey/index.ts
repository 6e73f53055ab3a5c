import { createHash } from 'node:crypto'

/**
 * @name hashKey
 * @category Client account
 * @summary SHA-256 of an API key or operator token, as the settings store it.
 *
 * @param key - The secret.
 * @returns 64 hexadecimal digits.
 *
 * @example
 * hashKey('secret').length // 64
 */
export function hashKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
