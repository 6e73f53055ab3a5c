import { AppError } from '../../../src/contract/AppError'
import { convertToAppError } from '../../../src/contract/convertToAppError'
import type { Link } from '../../../src/link/Link'
import type { MessageHandler } from '../../../src/link/MessageHandler'

/**
 * A link in memory whose far end calls the handlers of a replica, for tests with fake timers. Messages are handled in the
 * order in which they are sent. Errors of one-way messages are dropped, as on a real link.
 */
export class MemoryLink {
  /** End of the router, which sends. */
  readonly near: Link
  /** End of the replica, which the handlers get. */
  readonly far: Link
  /** Time between the verdict or summary and its arrival at the router. */
  replyDelayMs = 1
  /** Whether messages wait until `resume`, as at a replica without processor time. */
  #isPaused = false
  #isClosed = false
  readonly #handlers: ReadonlyMap<string, MessageHandler>
  readonly #paused: Array<() => void> = []
  readonly #closeListeners: Array<() => void> = []

  constructor (handlers: ReadonlyMap<string, MessageHandler>, { router, replica }: { router: string, replica: string }) {
    this.#handlers = handlers
    const isClosed = (): boolean => this.#isClosed
    const onClose = (listener: () => void): void => { if (this.#isClosed) listener(); else this.#closeListeners.push(listener) }
    const near = {
      peer: { instance: replica },
      get isClosed () { return isClosed() },
      onClose,
      close: () => this.close(),
      send: (type: string, body: unknown) => this.#deliver(() => { this.#handle(type, body).catch(() => {}) }),
      request: (type: string, body: unknown, options: { timeoutMs?: number } = {}) => this.#request(type, body, options.timeoutMs ?? 5_000)
    }
    this.near = near as unknown as Link
    this.far = { peer: { instance: router, zone: 'z' }, get isClosed () { return isClosed() }, onClose } as unknown as Link
  }

  pause (): void {
    this.#isPaused = true
  }

  resume (): void {
    this.#isPaused = false
    for (const deliver of this.#paused.splice(0)) deliver()
  }

  close (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#paused.length = 0
    for (const listener of this.#closeListeners) listener()
  }

  #deliver (handle: () => void): void {
    if (this.#isClosed) return
    setTimeout(() => {
      if (this.#isClosed) return
      if (this.#isPaused) this.#paused.push(handle)
      else handle()
    }, 1)
  }

  async #handle (type: string, body: unknown): Promise<unknown> {
    return await this.#handlers.get(type)!(structuredClone(body), this.far)
  }

  #request (type: string, body: unknown, timeoutMs: number): Promise<unknown> {
    const createError = (): AppError => new AppError('control-unavailable', `No reply to ${type}.`, { outcome: 'unknown' })
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(createError()), timeoutMs)
      const settle = (reply: () => void): void => { setTimeout(() => { if (!this.#isClosed) reply() }, this.replyDelayMs) }
      this.near.onClose(() => {
        clearTimeout(timer)
        reject(createError())
      })
      this.#deliver(() => {
        this.#handle(type, body).then(value => settle(() => resolve(value)), (error: unknown) => settle(() => reject(convertToAppError(error))))
      })
    })
  }
}
