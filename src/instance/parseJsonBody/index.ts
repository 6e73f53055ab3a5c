import { AppError } from '../../contract/AppError'

/**
 * @name parseJsonBody
 * @category Instance
 * @summary Parses the JSON body of a request.
 *
 * @param body - JSON in UTF-8.
 * @returns The parsed value.
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
