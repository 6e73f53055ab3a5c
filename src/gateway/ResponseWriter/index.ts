import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { abortResponse } from '../../instance/abortResponse'
import { selectContentLength } from '../../target/selectContentLength'
import { selectHeaders } from '../../target/selectHeaders'
import type { BodyBuffer } from '../BodyBuffer'

interface Head {
  status: number
  headers: IncomingHttpHeaders
}

/**
 * @name ResponseWriter
 * @category Gateway
 * @summary Writes the response of a target to the caller.
 *
 * @description
 * One for each call. The head of a stream is sent with its first event, so that an attempt which fails earlier can be
 * retried. A stream that is resumed at another target keeps the head of the first one. Every response has a length or is
 * chunked, also one that its target ends by closing the connection: without, the close of a connection by the kernel would
 * complete the responses of a router that is killed.
 *
 * @param response - The response to the caller.
 *
 * @example
 * writer.writeEvents(head, bytes, () => exchange.resume()) // false if the caller reads slowly
 */
export class ResponseWriter {
  readonly #response: ServerResponse
  #mediaType: string | undefined

  constructor (response: ServerResponse) {
    this.#response = response
  }

  /** Whether the head of the response was sent to the caller. */
  get isStarted (): boolean {
    return this.#response.headersSent
  }

  /** Whether the response can follow what was sent to the caller already: it must be of the same media type. */
  isContinuation ({ headers }: Pick<Head, 'headers'>): boolean {
    return !this.isStarted || parseMediaType(headers) === this.#mediaType
  }

  /** Forwards stream events. Returns false if the target must be paused until `resume` is called (backpressure). */
  writeEvents (head: Head, bytes: Buffer, resume: () => void): boolean {
    this.#writeHead(head)
    if (this.#response.write(bytes)) return true
    this.#response.once('drain', resume)
    return false
  }

  /** Ends a complete stream. */
  closeStream (head: Head): void {
    this.#writeHead(head)
    this.#response.end()
  }

  /** Sends a complete response that was buffered. */
  sendBuffered ({ status, headers }: Head, body: BodyBuffer): void {
    const selected = selectHeaders(headers)
    const length = selectContentLength({ status, headers, body, method: this.#response.req.method })
    if (length !== undefined) selected['content-length'] = length
    this.#response.writeHead(status, selected)
    const blocks = body.listBlocks()
    const last = blocks.pop()
    for (const block of blocks) this.#response.write(block)
    this.#response.end(last)
  }

  /** Ends a response that can't be completed. */
  abort (): void {
    abortResponse(this.#response)
  }

  #writeHead ({ status, headers }: Head): void {
    if (this.#response.headersSent) return
    this.#mediaType = parseMediaType(headers)
    this.#response.writeHead(status, selectHeaders(headers))
  }
}

function parseMediaType (headers: IncomingHttpHeaders): string | undefined {
  return headers['content-type']?.split(';')[0].trim().toLowerCase()
}
