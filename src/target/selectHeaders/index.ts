type Headers = Record<string, string | string[] | undefined>

/** Headers that belong to one connection, that are computed anew, or that must not cross the router. */
const DROPPED = new Set([
  'connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'authorization', 'expect', 'te', 'trailer',
  'proxy-authorization', 'proxy-connection', 'papayalead-outcome', 'x-request-id'
])

/**
 * @name selectHeaders
 * @category Target
 * @summary The headers of a message that are passed on.
 *
 * @param headers - Headers by lower-case name.
 * @returns The end-to-end headers.
 *
 * @example
 * selectHeaders({ host: 'a', accept: 'text/plain' }) // { accept: 'text/plain' }
 */
export function selectHeaders (headers: Headers): Record<string, string | string[]> {
  const named = String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim())
  const selected: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !DROPPED.has(name) && !named.includes(name)) selected[name] = value
  }
  return selected
}
