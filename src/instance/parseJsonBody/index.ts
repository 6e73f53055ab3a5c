import { AppError } from '../../contract/AppError'

/**
 * @name parseJsonBody
 * @category Instance
 * @summary The JSON value of a body.
 *
 * @param body - Bytes in UTF-8.
 * @returns The value.
 * @throws AppError `bad-request` if it is not JSON.
 *
 * @example
 * parseJsonBody(Buffer.from('{"a":1}')) // { a: 1 }
 */
export function parseJsonBody (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch (cause) {
    throw new AppError('bad-request', 'The body is not valid JSON.', { cause })
  }
}
