import type { Socket } from 'node:net'
import type { Dispatcher } from 'undici'

/** A chunk of one byte takes six. */
const BYTES_PER_BODY_BYTE = 64

interface UnparsedByteLimitOptions {
  /** Bytes that may be read from a connection beyond those that belong to the head or the body of a response. */
  maxBytes: number
}

/**
 * @name UnparsedByteLimit
 * @category Target
 * @summary Ends connections on which a target sends bytes without end that are no part of a response.
 *
 * @description
 * The HTTP client bounds headers, but skips a reason phrase or a chunk extension of any length: such bytes without end take
 * processor time until the request times out. Each byte of a body pays for `BYTES_PER_BODY_BYTE` that were read, which is
 * far more than chunks need. The client parses what it reads synchronously, so a part of a response that it reports
 * belongs to the connection that was read last.
 *
 * @param options - `maxBytes`.
 *
 * @example
 * const limit = new UnparsedByteLimit({ maxBytes: 262_144 })
 * limit.watch(socket)
 * pool.dispatch(request, limit.wrapHandler(handler))
 */
export class UnparsedByteLimit {
  readonly #maxBytes: number
  /** Bytes of the connection that was read last which nothing has paid for. */
  #lastRead = { bytes: 0 }

  constructor ({ maxBytes }: UnparsedByteLimitOptions) {
    this.#maxBytes = maxBytes
  }

  /** Counts what the HTTP client reads from the connection. */
  watch (socket: Socket): void {
    const unparsed = { bytes: 0 }
    const read = socket.read.bind(socket)
    socket.read = size => {
      const chunk = read(size)
      if (chunk === null) return null
      this.#lastRead = unparsed
      unparsed.bytes += chunk.length
      if (unparsed.bytes <= this.#maxBytes) return chunk
      socket.destroy(new Error('The target sends bytes without end that are no response.'))
      return null
    }
  }

  /** Returns a handler that notices the parts of a response and passes all events on. */
  wrapHandler (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (...args) => handler.onRequestStart?.(...args),
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart: (...args) => {
        this.#reset()
        handler.onResponseStart?.(...args)
      },
      onResponseData: (controller, chunk) => {
        this.#lastRead.bytes = Math.max(0, this.#lastRead.bytes - BYTES_PER_BODY_BYTE * chunk.length)
        handler.onResponseData?.(controller, chunk)
      },
      onResponseEnd: (...args) => {
        this.#reset()
        handler.onResponseEnd?.(...args)
      },
      onResponseError: (...args) => handler.onResponseError?.(...args)
    }
  }

  /** Returns an interceptor of the HTTP client that wraps the handlers of all requests. */
  createInterceptor (): Dispatcher.DispatcherComposeInterceptor {
    return dispatch => (options, handler) => dispatch(options, this.wrapHandler(handler))
  }

  #reset (): void {
    this.#lastRead.bytes = 0
  }
}
