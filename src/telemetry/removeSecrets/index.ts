/** Names of fields whose values must not be logged. */
const SECRET_FIELD_NAME = /key$|keys$|keyhash(es)?$|token$|tokenhash$|secret|authorization|password/i
const BEARER_TOKEN = /(Bearer\s+)\S+/gi
/** Bounds the memory of field names; names from messages could be of any number. */
const MAX_KNOWN_NAMES = 1_000
const HIDDEN = '[hidden]'
const knownNames = new Map<string, boolean>()
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
  if (typeof value === 'bigint') return String(value)
  if (typeof value !== 'object' || value === null) return value
  if (depth >= MAX_DEPTH) return '[nested]'
  if (Array.isArray(value)) return value.map(item => removeSecrets(item, depth + 1))
  if (value instanceof Error) return removeSecrets(value.message)
  const fields: Record<string, unknown> = {}
  for (const name of Object.keys(value)) fields[name] = isSecret(name) ? HIDDEN : removeSecrets((value as Record<string, unknown>)[name], depth + 1)
  return fields
}

function isSecret (name: string): boolean {
  let isMatch = knownNames.get(name)
  if (isMatch === undefined) {
    isMatch = SECRET_FIELD_NAME.test(name)
    if (knownNames.size < MAX_KNOWN_NAMES) knownNames.set(name, isMatch)
  }
  return isMatch
}
