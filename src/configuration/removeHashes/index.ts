type Json = string | number | boolean | null | Json[] | { [field: string]: Json }

/**
 * @name removeHashes
 * @category Configuration
 * @summary A setting as operators see it: hashes of keys and tokens are replaced by `hidden:<index>`.
 *
 * @description
 * A conditional change may carry these placeholders back; `restoreHashes` replaces them by the stored hashes.
 *
 * @param value - Value of a setting.
 * @returns A copy without hashes.
 *
 * @example
 * removeHashes({ keyHashes: ['ab', 'cd'], weight: 1 }) // { keyHashes: ['hidden:0', 'hidden:1'], weight: 1 }
 */
export function removeHashes (value: Json): Json {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
  const copy = { ...value }
  if (Array.isArray(copy.keyHashes)) copy.keyHashes = copy.keyHashes.map((_hash, index) => `hidden:${index}`)
  if (copy.tokenHash !== undefined) copy.tokenHash = 'hidden:0'
  return copy
}
