import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { ListenAddress } from '../../../contract/ListenAddress'

/** A server that can crash: all its connections are reset, and it refuses new ones until it listens again. */
export class RestartableServer {
  readonly #server: Server
  readonly #address: ListenAddress
  readonly #sockets = new Set<Socket>()
  #restartTimer: NodeJS.Timeout | undefined

  /** Takes a server that listens on the address. */
  constructor (server: Server, address: ListenAddress) {
    this.#server = server
    this.#address = address
    server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
    })
  }

  /** Crashes: connections are refused for the given time. */
  abort (downMs: number): void {
    if (this.#restartTimer) return
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#restartTimer = setTimeout(() => {
      this.#restartTimer = undefined
      this.#server.listen(this.#address.port, this.#address.host)
    }, downMs)
  }

  /** Stops the server and destroys its connections. */
  async close (): Promise<void> {
    clearTimeout(this.#restartTimer)
    await new Promise<void>(resolve => {
      this.#server.close(() => resolve())
      this.#server.closeAllConnections()
    })
  }
}
