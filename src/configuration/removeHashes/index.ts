type Json = string | number | boolean | null | Json[] | { [field: string]: Json }

/**
 * @name removeHashes
 * @category Configuration
 * @summary Replaces the hashes of keys and tokens in a setting by `hidden:<index>`, for display to operators.
 *
 * @description
 * A settings change may contain these placeholders; `restoreHashes` replaces them by the stored hashes.
 *
 * @param value - Value of a setting.
 * @returns A copy with placeholders in place of hashes.
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
