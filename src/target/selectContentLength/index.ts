interface BufferedResponse {
  status: number
  headers: Record<string, string | string[] | undefined>
  body: { length: number }
  /** Method of the request. */
  method: string | undefined
}

const NO_CONTENT_STATUS = 204
const NOT_MODIFIED_STATUS = 304

/**
 * @name selectContentLength
 * @category Target
 * @summary Selects the content length of a response whose body was buffered whole.
 *
 * @description
 * The response to a HEAD request has no body, but the length of the body that a GET request would get, if the target
 * announced it.
 *
 * @param response - Status, headers and body of the target; method of the request.
 * @returns The value of the header; undefined if the response must not have one.
 *
 * @example
 * selectContentLength({ status: 200, headers: {}, body: Buffer.from('ok'), method: 'GET' }) // '2'
 */
export function selectContentLength ({ status, headers, body, method }: BufferedResponse): string | undefined {
  if (status === NO_CONTENT_STATUS || status === NOT_MODIFIED_STATUS) return undefined
  if (method !== 'HEAD') return String(body.length)
  return headers['content-length'] === undefined ? undefined : String(headers['content-length'])
}
