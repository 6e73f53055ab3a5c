import { connect, type Socket } from 'node:net'
import { AppError } from '../../contract/AppError'
import { startHandshake } from '../_lib/startHandshake'
import type { Link } from '../Link'
import type { LinkOptions } from '../LinkOptions'

const FIRST_RECONNECT_DELAY_MS = 50
const MAX_RECONNECT_DELAY_MS = 500
const CONNECT_TIMEOUT_MS = 1_000

/**
 * @name LinkClient
 * @category Link
 * @summary Maintains a link to one instance.
 *
 * @description
 * Connects at once and reconnects with exponential backoff and jitter until it is closed. `request` fails at once
 * with `control-unavailable` and outcome `not-run` while there is no link, because nothing was sent.
 *
 * @param address - Address on which the instance accepts links.
 * @param options - Identity, cluster key and handlers.
 *
 * @example
 * const client = new LinkClient({ host: '127.0.0.1', port: 7100 }, options)
 * await client.request('propose', { group: 'settings', command })
 * client.close()
 */
export class LinkClient {
  readonly address: { host: string, port: number }
  readonly #options: LinkOptions
  #socket?: Socket
  #link?: Link
  #reconnectTimer?: NodeJS.Timeout
  #delayMs = FIRST_RECONNECT_DELAY_MS
  #isClosed = false

  constructor (address: { host: string, port: number }, options: LinkOptions) {
    this.address = address
    this.#options = options
    this.#connect()
  }

  get link (): Link | undefined {
    return this.#link
  }

  request (type: string, body: unknown, options: { timeoutMs?: number } = {}): Promise<unknown> {
    if (!this.#link) {
      const { host, port } = this.address
      return Promise.reject(new AppError('control-unavailable', `There is no link to ${host}:${port}.`))
    }
    return this.#link.request(type, body, options)
  }

  /** Sends a one-way message; returns false when there is no link. */
  send (type: string, body: unknown): boolean {
    this.#link?.send(type, body)
    return this.#link !== undefined
  }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#reconnectTimer)
    this.#socket?.destroy()
  }

  #connect (): void {
    const socket = connect({ ...this.address, allowHalfOpen: true })
    this.#socket = socket
    const connectTimer = setTimeout(() => this.#expireConnect(socket), CONNECT_TIMEOUT_MS)
    socket.on('connect', () => clearTimeout(connectTimer))
    socket.on('close', () => {
      clearTimeout(connectTimer)
      this.#handleClose()
    })
    startHandshake(socket, 'client', { ...this.#options, onLink: link => this.#handleLink(link) })
  }

  /** After a stall, timers run before the sockets are polled: the connection may have been accepted meanwhile. */
  #expireConnect (socket: Socket): void {
    setImmediate(() => { if (socket.connecting) socket.destroy() })
  }

  #handleLink (link: Link): void {
    this.#link = link
    this.#delayMs = FIRST_RECONNECT_DELAY_MS
    this.#options.onLink?.(link)
  }

  #handleClose (): void {
    this.#link = undefined
    if (this.#isClosed) return
    const jitter = 0.5 + Math.random() / 2
    this.#reconnectTimer = setTimeout(() => this.#connect(), this.#delayMs * jitter)
    this.#delayMs = Math.min(this.#delayMs * 2, MAX_RECONNECT_DELAY_MS)
  }
}
