import type { Socket } from 'node:net'
import { buildConnector } from 'undici'
import type { UnparsedByteLimit } from '../UnparsedByteLimit'

/** Any code but ECONNRESET, which undici takes as the end of a response without a length. */
const RESET_CODE = 'ECONNABORTED'

/**
 * @name createConnector
 * @category Target
 * @summary Creates a connector for an HTTP client that reports the reset of a connection as an error.
 *
 * @description
 * Only an orderly close shows that nothing of a response without a length is missing. Two layers hide a reset:
 *
 * - undici takes the error ECONNRESET as the end of such a response, and fails an assertion, which ends the process, if
 *   the response is paused. The error gets another code before undici sees it.
 * - Node.js reports a reset that it reads together with the last bytes as the end of the stream, without an error. A
 *   socket that was reset has no remote address any more; one that was closed by its peer still has.
 *
 * @param options - `timeoutMs`: longest time to establish a connection, in milliseconds; `unparsedLimit`: ends connections
 * on which the target sends bytes without end that are no response.
 * @returns The value for the option `connect` of a client, pool or agent.
 *
 * @example
 * const agent = new Agent({ connect: createConnector({ timeoutMs: 1_000, unparsedLimit }) })
 */
export function createConnector ({ timeoutMs, unparsedLimit }: { timeoutMs: number, unparsedLimit: UnparsedByteLimit }): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, done) => connect(options, (...[error, socket]) => {
    if (error) return done(error, null)
    // This listener is registered before that of undici and therefore runs first.
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNRESET') error.code = RESET_CODE
    })
    reportHiddenResets(socket)
    unparsedLimit.watch(socket)
    done(null, socket)
  })
}

/** Destroys the socket with an error if the end of its stream, which Node.js pushes as `null`, is a reset. */
function reportHiddenResets (socket: Socket): void {
  const push = socket.push.bind(socket)
  socket.push = (chunk, encoding) => {
    if (chunk !== null || socket.remoteAddress !== undefined) return push(chunk, encoding)
    socket.destroy(Object.assign(new Error('The connection was reset.'), { code: RESET_CODE }))
    return false
  }
}
