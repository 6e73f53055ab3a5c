import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { ListenAddress } from '../../contract/ListenAddress'
import { startHandshake } from '../_lib/startHandshake'
import type { LinkOptions } from '../LinkOptions'

/**
 * @name LinkServer
 * @category Link
 * @summary Accepts links from other instances.
 *
 * @param options - Identity, cluster key and handlers.
 *
 * @example
 * const server = new LinkServer(options)
 * const { port } = await server.listen({ host: '127.0.0.1', port: 0 })
 * await server.close()
 */
export class LinkServer {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  constructor (options: LinkOptions) {
    this.#server = createServer({ allowHalfOpen: true }, socket => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
      startHandshake(socket, 'server', options)
    })
  }

  /**
   * @throws Error of node:net if the address can't be bound.
   */
  listen (address: ListenAddress): Promise<ListenAddress> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(address.port, address.host, () => {
        const { port } = this.#server.address() as AddressInfo
        resolve({ host: address.host, port })
      })
    })
  }

  close (): Promise<void> {
    for (const socket of this.#sockets) socket.destroy()
    return new Promise(resolve => this.#server.close(() => resolve()))
  }
}
