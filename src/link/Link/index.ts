import type { Socket } from 'node:net'
import { AppError } from '../../contract/AppError'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import { createReplyBody } from '../_lib/createReplyBody'
import { ReplyBody } from '../_lib/ReplyBody'
import { encodeFrame } from '../encodeFrame'
import type { MessageHandlers } from '../MessageHandlers'

const DEFAULT_REQUEST_TIMEOUT_MS = 5_000
/** A peer with a larger send backlog is disconnected, so that a slow reader can't exhaust memory. */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024
/** Id of a message that gets no reply. */
const ONE_WAY_ID = 0

interface PendingRequest {
  resolve: (value: unknown) => void
  reject: (error: AppError) => void
  timer: NodeJS.Timeout
}

/**
 * @name Link
 * @category Link
 * @summary An authenticated connection to another instance.
 *
 * @description
 * Sends one-way messages and requests, and calls the handlers for the messages of the peer. Frames that are written in
 * one turn of the event loop are sent together. When the link closes, pending requests fail with `control-unavailable`
 * and outcome `unknown`, because the peer may have handled them.
 *
 * @param socket - The connection after the handshake.
 * @param peer - Identity of the instance at the other end.
 * @param handlers - Called for incoming messages.
 *
 * @example
 * const value = await link.request('fetchLog', { offset: 0, waitMs: 0, maxEntries: 10 }, { timeoutMs: 1000 })
 */
export class Link {
  readonly peer: LinkIdentity
  readonly #socket: Socket
  readonly #handlers: MessageHandlers
  readonly #pending = new Map<number, PendingRequest>()
  readonly #closeListeners: Array<() => void> = []
  #nextId = 1
  #isCorked = false
  #isClosed = false

  constructor (socket: Socket, peer: LinkIdentity, handlers: MessageHandlers) {
    this.#socket = socket
    this.peer = peer
    this.#handlers = handlers
    socket.on('close', () => this.#handleClose())
    socket.on('error', () => socket.destroy())
  }

  get isClosed (): boolean {
    return this.#isClosed
  }

  /** Bytes written to and read from the socket, for measurements of control traffic. */
  get traffic (): { bytesSent: number, bytesReceived: number } {
    return { bytesSent: this.#socket.bytesWritten, bytesReceived: this.#socket.bytesRead }
  }

  send (type: string, body: unknown): void {
    this.#write([type, ONE_WAY_ID, body])
  }

  request (type: string, body: unknown, options: { timeoutMs?: number } = {}): Promise<unknown> {
    if (this.#isClosed) return Promise.reject(new AppError('control-unavailable', `The link to ${this.peer.instance} is closed.`))
    const id = this.#nextId++
    return new Promise((resolve, reject) => {
      const timeoutMs = options.timeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS
      // After a stall, timers run before the sockets are read: a reply that has arrived is read before the request expires.
      const timer = setTimeout(() => setImmediate(() => this.#expireRequest(id, type)), timeoutMs)
      this.#pending.set(id, { resolve, reject, timer })
      this.#write([type, id, body])
    })
  }

  onClose (listener: () => void): void {
    if (this.#isClosed) listener()
    else this.#closeListeners.push(listener)
  }

  close (): void {
    this.#socket.destroy()
  }

  /** Handles one decoded message of the peer: a reply settles its request, others go to the handler of their type. */
  handleMessage (message: unknown): void {
    if (!Array.isArray(message) || typeof message[0] !== 'string' || typeof message[1] !== 'number') {
      throw new AppError('frame-invalid', 'A message is not of the form [type, id, body].')
    }
    const [type, id, body] = message
    if (type === 'reply') this.#settleRequest(id, body)
    else void this.#runHandler(type, id, body)
  }

  async #runHandler (type: string, id: number, body: unknown): Promise<void> {
    const handler = this.#handlers.get(type)
    const reply = await createReplyBody(() => {
      if (!handler) throw new AppError('not-found', `Unknown message type ${type}.`)
      return handler(body, this)
    })
    if (id !== ONE_WAY_ID) this.#write(['reply', id, reply])
  }

  #settleRequest (id: number, body: unknown): void {
    const pending = this.#pending.get(id)
    if (!pending) return
    this.#pending.delete(id)
    clearTimeout(pending.timer)
    const reply = ReplyBody.safeParse(body)
    if (!reply.success) return pending.reject(new AppError('frame-invalid', 'The body of a reply is neither a value nor an error.'))
    if (!('error' in reply.data)) return pending.resolve(reply.data.value)
    const { kind, message, outcome, details } = reply.data.error
    pending.reject(new AppError(kind, message, { outcome, details: details ?? undefined }))
  }

  #expireRequest (id: number, type: string): void {
    const pending = this.#pending.get(id)
    this.#pending.delete(id)
    pending?.reject(new AppError('control-unavailable', `${this.peer.instance} did not reply to ${type} in time.`, { outcome: 'unknown' }))
  }

  #write (message: unknown): void {
    if (this.#isClosed) return
    const frame = encodeFrame(message)
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) return this.close()
    this.#batchWrites()
    this.#socket.write(frame)
  }

  #batchWrites (): void {
    if (this.#isCorked) return
    this.#isCorked = true
    this.#socket.cork()
    setImmediate(() => {
      this.#isCorked = false
      this.#socket.uncork()
    })
  }

  #handleClose (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    for (const { reject, timer } of this.#pending.values()) {
      clearTimeout(timer)
      reject(new AppError('control-unavailable', `The link to ${this.peer.instance} closed before the reply.`, { outcome: 'unknown' }))
    }
    this.#pending.clear()
    for (const listener of this.#closeListeners) listener()
  }
}
