import type { Readable } from 'node:stream'
import { AppError } from '../../contract/AppError'
import { readResponseBody } from '../readResponseBody'

/**
 * @name readResponseText
 * @category Target
 * @summary Reads the body of a response as text, up to a limit.
 *
 * @param body - The body. It is destroyed if it is longer than the limit.
 * @param options - `maxBytes`: the longest body that is read.
 * @returns The text.
 * @throws AppError `target-failed` if the body is longer; error of the stream if it is truncated.
 *
 * @example
 * const text = await readResponseText(body, { maxBytes: 65_536 })
 */
export async function readResponseText (body: Readable, options: { maxBytes: number }): Promise<string> {
  const { bytes, rest } = await readResponseBody(body, options)
  if (!rest) return bytes.toString('utf8')
  body.on('error', () => {}).destroy()
  throw new AppError('target-failed', `The body of the response exceeds ${options.maxBytes} bytes.`)
}
