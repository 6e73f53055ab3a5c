type Headers = Record<string, string | string[] | undefined>

/** Hop-by-hop headers, headers that are set anew for the forwarded message, and headers that must not be forwarded. */
const DROPPED_HEADERS = new Set([
  'connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'authorization', 'expect', 'te', 'trailer',
  'proxy-authorization', 'proxy-connection', 'papayalead-outcome', 'x-request-id'
])

/**
 * @name selectHeaders
 * @category Target
 * @summary Selects the headers of a message that are forwarded.
 *
 * @param headers - Headers by lower-case name.
 * @returns The end-to-end headers.
 *
 * @example
 * selectHeaders({ host: 'a', accept: 'text/plain' }) // { accept: 'text/plain' }
 */
export function selectHeaders (headers: Headers): Record<string, string | string[]> {
  const connectionOptions = String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim())
  const selected: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !DROPPED_HEADERS.has(name) && !connectionOptions.includes(name)) selected[name] = value
  }
  return selected
}
