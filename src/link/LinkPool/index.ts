import type { PeerAddress } from '../../contract/PeerAddress'
import { LinkClient } from '../LinkClient'
import type { LinkOptions } from '../LinkOptions'

interface PooledLink {
  peer: PeerAddress
  client: LinkClient
}

/**
 * @name LinkPool
 * @category Link
 * @summary Maintains one link client for each instance of a changing list.
 *
 * @description
 * `update` opens clients for new instances, replaces those whose address changed and closes those whose
 * instance is no longer listed.
 *
 * @param options - Identity, cluster key and handlers of the links.
 *
 * @example
 * const pool = new LinkPool(options)
 * pool.update([{ instance: 'r2', zone: 'z1', host: '127.0.0.1', port: 7002 }])
 * pool.list().map(({ client }) => client.send('ping', null))
 */
export class LinkPool {
  readonly #options: LinkOptions
  readonly #links = new Map<string, PooledLink>()

  constructor (options: LinkOptions) {
    this.#options = options
  }

  update (peers: readonly PeerAddress[]): void {
    const wanted = new Map(peers.map(peer => [peer.instance, peer]))
    for (const [instance, { peer }] of this.#links) {
      const next = wanted.get(instance)
      if (!next || next.host !== peer.host || next.port !== peer.port) this.#remove(instance)
    }
    for (const peer of wanted.values()) {
      if (!this.#links.has(peer.instance)) this.#links.set(peer.instance, { peer, client: new LinkClient(peer, this.#options) })
    }
  }

  get (instance: string): LinkClient | undefined {
    return this.#links.get(instance)?.client
  }

  list (): PooledLink[] {
    return [...this.#links.values()]
  }

  close (): void {
    for (const instance of [...this.#links.keys()]) this.#remove(instance)
  }

  #remove (instance: string): void {
    this.#links.get(instance)?.client.close()
    this.#links.delete(instance)
  }
}
