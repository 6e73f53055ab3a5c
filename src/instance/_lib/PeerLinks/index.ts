import type { PeerAddress } from '../../../contract/PeerAddress'
import type { Link } from '../../../link/Link'
import { LinkClient } from '../../../link/LinkClient'
import type { LinkOptions } from '../../../link/LinkOptions'
import { NameEncoder } from '../../../schedule/NameEncoder'
import type { RouterDirectory } from '../RouterDirectory'

interface PeerLinksOptions {
  directory: RouterDirectory
  linkOptions: LinkOptions
  onConnected: (instance: string) => void
  onDisconnected: (instance: string) => void
}

interface Connection {
  address: PeerAddress
  client: LinkClient
  /** Numbers that stand for names on the current connection; a new connection starts with an empty table. */
  names: NameEncoder
}

/** Outgoing links to other routers, one for each. Links are opened on first use. */
export class PeerLinks {
  readonly #options: PeerLinksOptions
  readonly #connections = new Map<string, Connection>()

  constructor (options: PeerLinksOptions) {
    this.#options = options
  }

  /** Opens links to all routers of a zone and closes links to routers that left the directory. */
  update (zone: string): void {
    const routers = this.#options.directory.list()
    for (const router of routers) {
      if (router.zone === zone) this.#getConnection(router.instance)
    }
    for (const [instance, { address, client }] of this.#connections) {
      if (routers.some(router => router.instance === instance && router.host === address.host && router.port === address.port)) continue
      client.close()
      this.#connections.delete(instance)
    }
  }

  listInstances (zone: string): string[] {
    return this.#options.directory.list().filter(router => router.zone === zone).map(router => router.instance)
  }

  listZones (): string[] {
    return [...new Set(this.#options.directory.list().map(router => router.zone))]
  }

  /** Sends a one-way message. Returns false without creating the body if there is no link. */
  send (instance: string, type: string, createBody: (names: NameEncoder) => unknown): boolean {
    const connection = this.#getConnection(instance)
    if (!connection?.client.link) return false
    return connection.client.send(type, createBody(connection.names))
  }

  async request (instance: string, type: string, body: unknown, options: { timeoutMs: number }): Promise<unknown> {
    return await this.#getConnection(instance)?.client.request(type, body, options)
  }

  close (): void {
    for (const { client } of this.#connections.values()) client.close()
  }

  #getConnection (instance: string): Connection | undefined {
    const known = this.#connections.get(instance)
    if (known) return known
    const address = this.#options.directory.list().find(router => router.instance === instance)
    if (!address) return undefined
    const client = new LinkClient(address, { ...this.#options.linkOptions, onLink: link => this.#handleLink(instance, link) })
    const connection = { address, client, names: new NameEncoder() }
    this.#connections.set(instance, connection)
    return connection
  }

  #handleLink (instance: string, link: Link): void {
    this.#options.linkOptions.onLink?.(link)
    const connection = this.#connections.get(instance)
    if (connection) connection.names = new NameEncoder()
    link.onClose(() => this.#options.onDisconnected(instance))
    this.#options.onConnected(instance)
  }
}
