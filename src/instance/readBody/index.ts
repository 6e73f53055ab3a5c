import type { IncomingMessage } from 'node:http'
import { AppError } from '../../contract/AppError'

const CLOSED = 'The connection closed before the end of the body.'

/**
 * @name readBody
 * @category Instance
 * @summary Reads the whole body of an HTTP request.
 *
 * @description
 * If the body is too large, the rest of it is discarded, so that the caller can read the response.
 *
 * @param request - The request.
 * @param options - `maxBytes`: size limit of the body.
 * @returns The body.
 * @throws AppError `body-too-large`, or `caller-gone` if the connection closes before the end of the body.
 *
 * @example
 * const body = await readBody(request, { maxBytes: 1024 })
 */
export function readBody (request: IncomingMessage, options: { maxBytes: number }): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    if (request.destroyed) return reject(new AppError('caller-gone', CLOSED, { outcome: 'not-run' }))
    const chunks: Buffer[] = []
    let size = 0
    const handleData = (chunk: Buffer): void => {
      size += chunk.length
      if (size <= options.maxBytes) chunks.push(chunk)
      else handleFailure(new AppError('body-too-large', `The body exceeds ${options.maxBytes} bytes.`))
    }
    const handleFailure = (error: AppError): void => {
      request.off('data', handleData)
      request.resume()
      reject(error)
    }
    request.on('data', handleData)
    request.once('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)))
    request.once('close', () => {
      if (!request.readableEnded) handleFailure(new AppError('caller-gone', CLOSED, { outcome: 'not-run' }))
    })
    request.once('error', cause => handleFailure(new AppError('caller-gone', CLOSED, { cause, outcome: 'not-run' })))
  })
}
