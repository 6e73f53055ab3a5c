import { buildConnector } from 'undici'

/** Any code but ECONNRESET, which undici takes as the end of a response without a length. */
const RESET_CODE = 'ECONNABORTED'

/**
 * @name createConnector
 * @category Target
 * @summary Creates a connector for an HTTP client that reports the reset of a connection as an error.
 *
 * @description
 * When a connection is reset, undici takes a response without a length as complete, and fails an assertion, which ends
 * the process, if the response is paused. Only an orderly close shows that nothing is missing, so the error gets another
 * code before undici sees it.
 *
 * @param options - `timeoutMs`: longest time to establish a connection, in milliseconds.
 * @returns The value for the option `connect` of a client, pool or agent.
 *
 * @example
 * const agent = new Agent({ connect: createConnector({ timeoutMs: 1_000 }) })
 */
export function createConnector ({ timeoutMs }: { timeoutMs: number }): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, done) => connect(options, (...[error, socket]) => {
    if (error) return done(error, null)
    // This listener is registered before that of undici and therefore runs first.
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNRESET') error.code = RESET_CODE
    })
    done(null, socket)
  })
}
