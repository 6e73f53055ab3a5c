import { Agent } from 'undici'
import { AppError } from '../../contract/AppError'
import type { TargetRequest } from '../TargetRequest'
import type { TargetResponse } from '../TargetResponse'

const CONNECT_TIMEOUT_MS = 1_000
const HEADERS_TIMEOUT_MS = 120_000

/**
 * @name TargetClient
 * @category Target
 * @summary Sends requests to targets.
 *
 * @description
 * One request is in flight on a connection at a time (no pipelining), and a request is never resent.
 *
 * @example
 * const response = await client.dispatch({ url, method: 'GET', path: '/health', headers: {} })
 */
export class TargetClient {
  readonly #agent = new Agent({ pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: HEADERS_TIMEOUT_MS, bodyTimeout: HEADERS_TIMEOUT_MS })

  /**
   * @throws AppError `target-failed`: outcome `not-run` if no connection was made, otherwise `unknown`.
   */
  async dispatch (request: TargetRequest): Promise<TargetResponse> {
    try {
      const { statusCode, headers, body } = await this.#agent.request({
        origin: request.url,
        method: request.method as 'GET',
        path: request.path,
        headers: request.headers,
        body: request.body,
        signal: request.signal
      })
      return { status: statusCode, headers, body }
    } catch (cause) {
      const outcome = isConnectError(cause) ? 'not-run' : 'unknown'
      throw new AppError('target-failed', 'The target did not answer.', { cause, outcome })
    }
  }

  close (): Promise<void> {
    return this.#agent.destroy()
  }
}

function isConnectError (error: unknown): boolean {
  const code = (error as { code?: string }).code
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT'
}
