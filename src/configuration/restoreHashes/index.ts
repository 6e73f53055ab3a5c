type Json = string | number | boolean | null | Json[] | { [field: string]: Json }

const PLACEHOLDER = /^hidden:(\d+)$/

/**
 * @name restoreHashes
 * @category Configuration
 * @summary Replaces the placeholders of `removeHashes` by the stored hashes.
 *
 * @description
 * A placeholder without a stored hash is left in place and then fails validation of the value.
 *
 * @param value - New value of a setting, possibly with placeholders.
 * @param stored - Current value at the same path.
 * @returns The value with the placeholders replaced.
 *
 * @example
 * restoreHashes({ keyHashes: ['hidden:1'] }, { keyHashes: ['ab', 'cd'] }) // { keyHashes: ['cd'] }
 */
export function restoreHashes (value: Json, stored: Json | undefined): Json {
  if (!isRecord(value) || !isRecord(stored)) return value
  const copy = { ...value }
  const hashes = Array.isArray(stored.keyHashes) ? stored.keyHashes : []
  if (Array.isArray(copy.keyHashes)) copy.keyHashes = copy.keyHashes.map(hash => restoreHash(hash, hashes))
  if (copy.tokenHash !== undefined && stored.tokenHash !== undefined) copy.tokenHash = restoreHash(copy.tokenHash, [stored.tokenHash])
  return copy
}

function restoreHash (hash: Json, stored: Json[]): Json {
  const match = typeof hash === 'string' ? PLACEHOLDER.exec(hash) : null
  return match ? stored[Number(match[1])] ?? hash : hash
}

function isRecord (value: Json | undefined): value is { [field: string]: Json } {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
