import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { selectHeaders } from '../../target/selectHeaders'

interface Head {
  status: number
  headers: IncomingHttpHeaders
}

/**
 * @name AnswerWriter
 * @category Gateway
 * @summary Writes the answer of a target to the caller.
 *
 * @description
 * The head of a stream is sent with its first event, so that an attempt which fails before it can be repeated. A
 * stream that goes on at another target keeps the head of the first one. An answer of a target that has no length and
 * ends with its connection is passed on in the same way: whether it is whole can't be told, so it must not be framed as
 * if it were.
 *
 * @param response - The answer to the caller.
 *
 * @example
 * writer.writeEvents(head, bytes, () => exchange.resume()) // false if the caller reads slowly
 */
export class AnswerWriter {
  readonly #response: ServerResponse

  constructor (response: ServerResponse) {
    this.#response = response
  }

  get isStarted (): boolean {
    return this.#response.headersSent
  }

  /** Returns false if the target should pause until `resume` is called. */
  writeEvents (head: Head, bytes: Buffer, resume: () => void): boolean {
    this.#writeHead(head)
    if (this.#response.write(bytes)) return true
    this.#response.once('drain', resume)
    return false
  }

  closeEvents (head: Head): void {
    this.#writeHead(head)
    this.#response.end()
  }

  sendWhole ({ status, headers }: Head, body: Buffer): void {
    const selected = selectHeaders(headers)
    if (!isFramed(headers)) this.#closeWithAnswer()
    else if (status !== 204 && status !== 304) selected['content-length'] = String(body.length)
    this.#response.writeHead(status, selected)
    this.#response.end(body)
  }

  #writeHead ({ status, headers }: Head): void {
    if (this.#response.headersSent) return
    if (!isFramed(headers)) this.#closeWithAnswer()
    this.#response.writeHead(status, selectHeaders(headers))
  }

  #closeWithAnswer (): void {
    this.#response.useChunkedEncodingByDefault = false
    this.#response.shouldKeepAlive = false
  }
}

function isFramed (headers: IncomingHttpHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
