import type { Socket } from 'node:net'

interface AcceptClockOptions {
  /** Milliseconds of a monotonic clock. */
  now: () => number
  /** Number of iterations of the event loop so far. */
  countIterations: () => number
  /** Most connections that the operating system keeps for the listener. */
  backlog: number
}

/** Shorter delays are not worth keeping. */
const MIN_DELAY_MS = 5

/**
 * @name AcceptClock
 * @category Gateway
 * @summary Estimates how long a connection waited to be accepted, for the first request on it.
 *
 * @description
 * Node.js accepts one connection in each iteration of the event loop, so connections pile up in the operating system while
 * every iteration accepts one. A connection has waited since the last iteration that found none, and not longer than a full
 * backlog takes.
 *
 * @param options - Clocks and the length of the backlog.
 *
 * @example
 * server.on('connection', socket => clock.observe(socket))
 * clock.takeDelay(request.socket) // 0 for a further request on the connection
 */
export class AcceptClock {
  readonly #options: AcceptClockOptions
  readonly #delays = new WeakMap<Socket, number>()
  #iteration = -Infinity
  #emptyAtMs = 0
  /** Connections that were accepted since then. */
  #accepted = 0

  constructor (options: AcceptClockOptions) {
    this.#options = options
  }

  /** Observes a connection that has just been accepted. */
  observe (socket: Socket): void {
    const nowMs = this.#options.now()
    const iteration = this.#options.countIterations()
    if (iteration - this.#iteration > 1) {
      this.#emptyAtMs = nowMs
      this.#accepted = 0
    }
    this.#iteration = iteration
    this.#accepted++
    const busyMs = nowMs - this.#emptyAtMs
    const delayMs = Math.min(busyMs, this.#options.backlog * busyMs / this.#accepted)
    if (delayMs >= MIN_DELAY_MS) this.#delays.set(socket, delayMs)
  }

  /** Returns the delay of a connection in milliseconds at its first request, and 0 afterwards. */
  takeDelay (socket: Socket): number {
    const delayMs = this.#delays.get(socket) ?? 0
    if (delayMs > 0) this.#delays.delete(socket)
    return delayMs
  }
}
