/**
 * @name LogSource
 * @category Configuration
 * @summary Source of the settings log for an observer: a control replica or a relay.
 *
 * @example
 * const source: LogSource = { name: 'c1', request: (type, body, options) => client.request(type, body, options), send: (type, body) => client.send(type, body) }
 */
export interface LogSource {
  readonly name: string
  request: (type: string, body: unknown, options: { timeoutMs?: number }) => Promise<unknown>
  /** Sends a one-way message; returns false if there is no link. */
  send: (type: string, body: unknown) => boolean
}
