/** Names of fields whose values must not be logged. */
const SECRET_FIELD_NAME = /key$|keys$|keyhash(es)?$|token$|tokenhash$|secret|authorization|password/i
const BEARER_TOKEN = /(Bearer\s+)\S+/gi
const HIDDEN = '[hidden]'
/** Structures nested more deeply are replaced as a whole, so that a cyclic value can't block the process. */
const MAX_DEPTH = 6

/**
 * @name removeSecrets
 * @category Telemetry
 * @summary Copies a value and replaces keys, tokens and their hashes by `[hidden]`.
 *
 * @param value - A value that is about to be logged.
 * @param depth - Nesting depth of the value; 0 for the top level.
 * @returns The copy.
 *
 * @example
 * removeSecrets({ account: { keyHashes: ['ab'], weight: 1 } }) // { account: { keyHashes: '[hidden]', weight: 1 } }
 */
export function removeSecrets (value: unknown, depth = 0): unknown {
  if (typeof value === 'string') return value.replace(BEARER_TOKEN, `$1${HIDDEN}`)
  if (typeof value !== 'object' || value === null) return value
  if (depth >= MAX_DEPTH) return '[nested]'
  if (Array.isArray(value)) return value.map(item => removeSecrets(item, depth + 1))
  if (value instanceof Error) return removeSecrets(value.message)
  const fields = Object.entries(value).map(([name, field]) => [name, SECRET_FIELD_NAME.test(name) ? HIDDEN : removeSecrets(field, depth + 1)])
  return Object.fromEntries(fields)
}
