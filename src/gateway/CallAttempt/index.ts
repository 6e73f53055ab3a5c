import type { IncomingHttpHeaders } from 'node:http'
import type { HeaderCodec } from '../../contract/HeaderCodec'
import type { AttemptResult } from '../../routing/AttemptResult'
import type { AnswerWriter } from '../AnswerWriter'
import { EventSplitter } from '../EventSplitter'
import { TargetExchange } from '../TargetExchange'

interface CallAttemptOptions {
  codec: HeaderCodec
  callId: string
  target: string
  isStream: boolean
  writer: AnswerWriter
  /** The head of an answer has come. */
  onHead: () => void
  /** The target has read the request and begun to answer it. */
  onProgress: () => void
}

interface WholeAnswer {
  status: number
  headers: IncomingHttpHeaders
  body: Buffer
}

const MAX_ANSWER_BYTES = 32 * 1024 * 1024
const TARGET_CHANGED_STATUS = 421

/**
 * @name CallAttempt
 * @category Gateway
 * @summary One request at one target: passes its answer on and tells how it ended.
 *
 * @description
 * A successful answer is passed on only if it carries the target's signature and belongs to this request. Streams are
 * passed on event by event, other answers once they are whole.
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
  readonly #chunks: Buffer[] = []
  #size = 0
  #settle!: (result: AttemptResult) => void
  #head: { status: number, headers: IncomingHttpHeaders } | undefined
  #isRelayed = false
  #notRun: { retryAfterS?: number } | undefined
  #lastEventId: string | undefined
  #failure: WholeAnswer | undefined

  constructor (options: CallAttemptOptions) {
    this.#options = options
    this.result = new Promise(resolve => { this.#settle = resolve })
    this.exchange = new TargetExchange({
      onHead: (status, headers) => this.#handleHead(status, headers),
      onData: chunk => this.#handleData(chunk),
      onEnd: () => this.#handleEnd(),
      onError: (_error, isSent) => this.#settle(isSent ? this.#createLost() : { type: 'unsent', target: options.target })
    })
  }

  /** The whole answer of a target that reports a failure, after the result `failure`. */
  get failure (): WholeAnswer | undefined {
    return this.#failure
  }

  /** Ends the attempt from outside, with its connection. */
  cancel (reason: 'left' | 'expired'): void {
    const { isSent } = this.exchange
    this.exchange.abort()
    this.#settle(reason === 'left' ? { type: 'left' } : { type: 'expired', isSent, isStarted: this.#options.writer.isStarted })
  }

  /** Lets the target finish although the caller left: a request that must not be repeated is not worth its connection. */
  detach (): void {
    this.#settle({ type: 'left' })
  }

  #handleHead (status: number, headers: IncomingHttpHeaders): void {
    const { codec, callId, isStream } = this.#options
    const answer = codec.readResponseHeaders(headers)
    this.#options.onHead()
    const isSuccess = status >= 200 && status < 300
    if (answer.callId !== undefined ? answer.callId !== callId : isSuccess) return this.#refuse()
    if (isSuccess && (!answer.isSigned || headers['content-encoding'] !== undefined)) return this.#refuse()
    if (answer.isNotRun || status === TARGET_CHANGED_STATUS) this.#notRun = { retryAfterS: answer.retryAfterS }
    this.#head = { status, headers }
    this.#isRelayed = isSuccess && isStream
    if (!this.#notRun && !isSuccess) this.#options.onProgress()
  }

  #handleData (chunk: Buffer): void {
    this.#options.onProgress()
    if (this.#isRelayed) return this.#pipe(chunk)
    this.#size += chunk.length
    if (this.#size > MAX_ANSWER_BYTES) return this.#refuse()
    this.#chunks.push(chunk)
  }

  #pipe (chunk: Buffer): void {
    const { bytes, lastEventId } = this.#splitter.add(chunk)
    this.#lastEventId = lastEventId
    if (bytes && !this.#options.writer.writeEvents(this.#head!, bytes, () => this.exchange.resume())) this.exchange.pause()
  }

  #handleEnd (): void {
    const { target, writer } = this.#options
    const { status, headers } = this.#head!
    if (this.#notRun) return this.#settle({ type: 'not-run', target, ...this.#notRun })
    if (this.#isRelayed) {
      if (this.#splitter.pendingBytes > 0) return this.#settle(this.#createLost())
      writer.closeEvents(this.#head!)
      return this.#settle({ type: 'answered' })
    }
    const body = Buffer.concat(this.#chunks)
    if (status >= 200 && status < 300 && !writer.isStarted) {
      writer.sendWhole(this.#head!, body)
      return this.#settle({ type: 'answered' })
    }
    this.#failure = { status, headers, body }
    this.#settle({ type: 'failure', target })
  }

  /** The bytes are no answer to this request; nothing after them on the connection can be trusted. */
  #refuse (): void {
    this.exchange.abort()
    this.#settle(this.#createLost())
  }

  #createLost (): AttemptResult {
    return { type: 'lost', target: this.#options.target, isStarted: this.#options.writer.isStarted, lastEventId: this.#lastEventId }
  }
}
