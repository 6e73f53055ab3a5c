import type { IncomingHttpHeaders } from 'node:http'
import type { HeaderCodec } from '../../contract/HeaderCodec'
import type { AttemptResult } from '../../routing/AttemptResult'
import type { ResponseWriter } from '../ResponseWriter'
import { BodyBuffer } from '../BodyBuffer'
import type { BufferBudget } from '../BufferBudget'
import { EventSplitter } from '../EventSplitter'
import { findFirstEventId } from '../findFirstEventId'
import { TargetExchange } from '../TargetExchange'
import type { WriteBatcher } from '../WriteBatcher'

interface CallAttemptOptions {
  codec: HeaderCodec
  callId: string
  target: string
  isStream: boolean
  /** Id of the event after which the attempt resumes a stream that the caller has received in part. */
  resumedEventId: string | undefined
  writer: ResponseWriter
  /** Delays the events after the first while this router is busy. */
  batcher: WriteBatcher
  /** Bounds what the attempts of all calls buffer. */
  budget: BufferBudget
  /** Called when the head of a response has arrived. */
  onHead: () => void
  /** Called, possibly more than once, when the target has read the request and begun to respond. */
  onProgress: () => void
}

interface BufferedResponse {
  status: number
  headers: IncomingHttpHeaders
  body: BodyBuffer
}

const MAX_RESPONSE_BYTES = 32 * 1024 * 1024
/** Bounds the memory of a stream, of which only the incomplete event is kept. */
const MAX_EVENT_BYTES = 1024 * 1024
/** HTTP 421 (Misdirected Request): the target has changed, and the request was not run. */
const TARGET_CHANGED_STATUS = 421
/** Statuses that tell a caller that the request has not run. */
const NOT_RUN_STATUSES = new Set([408, TARGET_CHANGED_STATUS, 429, 503])

/**
 * @name CallAttempt
 * @category Gateway
 * @summary One attempt of a request at one target: forwards the response and reports how the attempt ended.
 *
 * @description
 * A response is believed only if it has the id of this request, a refusal ("not run") too: without it, the outcome is
 * unknown. A successful response must also be signed by the target. Streams are forwarded event by event, other responses
 * once they are complete.
 *
 * @example
 * const attempt = new CallAttempt(options)
 * connections.dispatch(address, { limit, request, handler: attempt.exchange })
 * const result = await attempt.result
 */
export class CallAttempt {
  readonly exchange: TargetExchange
  readonly result: Promise<AttemptResult>
  readonly #options: CallAttemptOptions
  readonly #splitter = new EventSplitter()
  readonly #body = new BodyBuffer()
  #isSettled = false
  /** Bytes of a response that nobody waits for. */
  #discardedBytes = 0
  #settle!: (result: AttemptResult) => void
  #head: { status: number, headers: IncomingHttpHeaders } | undefined
  #isForwardedStream = false
  #notRunResult: { retryAfterS?: number } | undefined
  #firstEventId: string | undefined
  /** Events that are sent with the next write. */
  #delayed: Buffer[] = []
  #failure: BufferedResponse | undefined

  constructor (options: CallAttemptOptions) {
    this.#options = options
    this.result = new Promise(resolve => {
      this.#settle = result => {
        if (result.type !== 'left') this.flush()
        options.batcher.remove(this)
        this.#isSettled = true
        if (!isBufferNeeded(result)) this.release()
        resolve(result)
      }
    })
    this.exchange = new TargetExchange({
      onHead: (status, headers) => this.#handleHead(status, headers),
      onData: chunk => this.#handleData(chunk),
      onEnd: () => this.#handleEnd(),
      onError: (_error, isSent) => this.#settle(isSent ? this.#createLostResult() : { type: 'unsent', target: options.target })
    })
  }

  /** The complete response of a target that reports a failure; set after the result `failure`. */
  get failure (): BufferedResponse | undefined {
    return this.#failure
  }

  /** Aborts the attempt and closes its connection. */
  cancel (reason: 'left' | 'expired'): void {
    const { isSent } = this.exchange
    this.exchange.abort()
    this.#settle(reason === 'left' ? { type: 'left' } : { type: 'expired', isSent, isStarted: this.#options.writer.isStarted })
  }

  /**
   * Ends the attempt after its caller has disconnected. A request that was not sent is withdrawn. One that was sent may
   * finish within `maxMs`: aborting it would cost the connection to the target, which is not worth it for a request that
   * must not be repeated.
   */
  detach ({ maxMs }: { maxMs: number }): void {
    if (!this.exchange.isSent) return this.cancel('left')
    this.exchange.abortAfter(maxMs)
    this.#settle({ type: 'left' })
  }

  /** Ends the response, because it takes more memory than any other. */
  evict (): void {
    if (this.#isSettled) this.#options.writer.abort()
    else this.#refuseResponse()
  }

  /** Gives the memory of the response back to the budget, once the caller has it or does not get it. */
  release (): void {
    this.#options.budget.release(this)
  }

  /** Sends the events that have been delayed. */
  flush (): void {
    if (this.#delayed.length === 0) return
    const bytes = this.#delayed.length === 1 ? this.#delayed[0] : Buffer.concat(this.#delayed)
    this.#delayed = []
    if (!this.#options.writer.writeEvents(this.#head!, bytes, () => this.exchange.resume())) this.exchange.pause()
  }

  #handleHead (status: number, headers: IncomingHttpHeaders): void {
    const { codec, callId, isStream, writer } = this.#options
    const parsedHeaders = codec.readResponseHeaders(headers)
    this.#options.onHead()
    const isSuccess = status >= 200 && status < 300
    // A target repeats the id of the request, also in refusals: any other response may be a late one to an earlier request.
    if ((parsedHeaders.callId ?? '') !== callId || (isSuccess && parsedHeaders.callId === undefined)) return this.#refuseResponse()
    if (isSuccess && (!parsedHeaders.isSigned || headers['content-encoding'] !== undefined)) return this.#refuseResponse()
    if (isSuccess && !writer.isContinuation({ headers })) return this.#refuseResponse()
    if (parsedHeaders.isNotRun || status === TARGET_CHANGED_STATUS) this.#notRunResult = { retryAfterS: parsedHeaders.retryAfterS }
    else if (NOT_RUN_STATUSES.has(status)) return this.#refuseResponse()
    this.#head = { status, headers }
    this.#isForwardedStream = isSuccess && isStream
    if (!this.#notRunResult && !isSuccess) this.#options.onProgress()
  }

  #handleData (chunk: Buffer): void {
    if (this.#isSettled) return this.#drain(chunk)
    this.#options.onProgress()
    if (this.#isForwardedStream) return this.#pipeEvents(chunk)
    this.#body.add(chunk)
    if (this.#body.length > MAX_RESPONSE_BYTES) return this.#refuseResponse()
    this.#options.budget.set(this, this.#body.allocatedBytes)
  }

  /** Reads the response to a caller who has left, up to its limit. */
  #drain (chunk: Buffer): void {
    this.#discardedBytes += chunk.length
    if (this.#discardedBytes > MAX_RESPONSE_BYTES) this.exchange.abort()
  }

  #pipeEvents (chunk: Buffer): void {
    const bytes = this.#splitter.add(chunk)
    if (this.#splitter.pendingBytes > MAX_EVENT_BYTES) return this.#refuseResponse()
    this.#options.budget.set(this, this.#splitter.allocatedBytes)
    if (!bytes || this.#isSettled) return
    if (this.#isRepeating(bytes)) return this.#refuseResponse()
    const { writer, batcher } = this.#options
    this.#delayed.push(bytes)
    if (!writer.isStarted || !batcher.tryDelay(this)) this.flush()
  }

  /** Whether the events of a resumed stream begin before the event after which it should be resumed. */
  #isRepeating (bytes: Buffer): boolean {
    const { resumedEventId } = this.#options
    if (resumedEventId === undefined) return false
    this.#firstEventId ??= findFirstEventId(bytes)
    return this.#firstEventId !== undefined && !isLaterId(this.#firstEventId, resumedEventId)
  }

  #handleEnd (): void {
    if (this.#isSettled) return
    const { target, writer } = this.#options
    const { status, headers } = this.#head!
    if (this.#notRunResult) return this.#settle({ type: 'not-run', target, ...this.#notRunResult })
    if (this.#isForwardedStream) {
      if (this.#splitter.pendingBytes > 0) return this.#settle(this.#createLostResult())
      this.flush()
      writer.closeStream(this.#head!)
      return this.#settle({ type: 'answered' })
    }
    if (status >= 200 && status < 300 && !writer.isStarted) {
      writer.sendBuffered(this.#head!, this.#body)
      return this.#settle({ type: 'answered' })
    }
    this.#failure = { status, headers, body: this.#body }
    this.#settle({ type: 'failure', target })
  }

  /** Refuses a response that is invalid, too large or for another request; its connection can't be trusted any more. */
  #refuseResponse (): void {
    this.exchange.abort()
    this.#settle(this.#createLostResult())
  }

  #createLostResult (): AttemptResult {
    return { type: 'lost', target: this.#options.target, isStarted: this.#options.writer.isStarted, lastEventId: this.#splitter.hasEvents ? this.#splitter.findLastId() : this.#options.resumedEventId }
  }
}

/** Whether the caller may still get what was buffered. */
function isBufferNeeded ({ type }: AttemptResult): boolean {
  return type === 'answered' || type === 'failure'
}

/** Whether an event follows another one. Ids that are no numbers have no order, but differ. */
function isLaterId (id: string, earlierId: string): boolean {
  return Number(id) > Number(earlierId) || (Number.isNaN(Number(id) - Number(earlierId)) && id !== earlierId)
}
