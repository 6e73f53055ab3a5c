import type { IncomingMessage } from 'node:http'
import { AppError } from '../../contract/AppError'

/**
 * @name readBody
 * @category Instance
 * @summary Reads the whole body of an HTTP request.
 *
 * @param request - The request.
 * @param options - `maxBytes`: size limit of the body.
 * @returns The body.
 * @throws AppError `body-too-large`, or `caller-gone` if the connection closes before the end of the body.
 *
 * @example
 * const body = await readBody(request, { maxBytes: 1024 })
 */
export async function readBody (request: IncomingMessage, options: { maxBytes: number }): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request) {
      size += chunk.length
      if (size > options.maxBytes) throw new AppError('body-too-large', `The body exceeds ${options.maxBytes} bytes.`)
      chunks.push(chunk)
    }
  } catch (cause) {
    if (cause instanceof AppError) throw cause
    throw new AppError('caller-gone', 'The connection closed before the end of the body.', { cause, outcome: 'not-run' })
  }
  return Buffer.concat(chunks)
}
