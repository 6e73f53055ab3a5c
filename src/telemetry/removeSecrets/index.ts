/** Names of fields whose values never reach a log. */
const SECRET_FIELD = /key$|keys$|keyhash(es)?$|token$|tokenhash$|secret|authorization|password/i
const BEARER = /(Bearer\s+)\S+/gi
const HIDDEN = '[hidden]'
/** Deeper structures are replaced as a whole, so that a cyclic one can't block the process. */
const MAX_DEPTH = 6

/**
 * @name removeSecrets
 * @category Telemetry
 * @summary A copy of a value without keys, tokens and their hashes.
 *
 * @param value - A value that is about to be logged.
 * @param depth - Levels above the value.
 * @returns The copy.
 *
 * @example
 * removeSecrets({ account: { keyHashes: ['ab'], weight: 1 } }) // { account: { keyHashes: '[hidden]', weight: 1 } }
 */
export function removeSecrets (value: unknown, depth = 0): unknown {
  if (typeof value === 'string') return value.replace(BEARER, `$1${HIDDEN}`)
  if (typeof value !== 'object' || value === null) return value
  if (depth >= MAX_DEPTH) return '[nested]'
  if (Array.isArray(value)) return value.map(item => removeSecrets(item, depth + 1))
  if (value instanceof Error) return removeSecrets(value.message)
  const fields = Object.entries(value).map(([name, field]) => [name, SECRET_FIELD.test(name) ? HIDDEN : removeSecrets(field, depth + 1)])
  return Object.fromEntries(fields)
}
