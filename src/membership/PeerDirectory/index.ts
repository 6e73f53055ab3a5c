import type { PeerAddress } from '../../contract/PeerAddress'
import type { PlatformInstance } from '../../contract/PlatformInstance'

/**
 * @name PeerDirectory
 * @category Membership
 * @summary Addresses of the other routers, from the settings file and the platform's list.
 *
 * @description
 * The list adds routers and replaces addresses. A router in the settings file is kept even if the list does not contain
 * it, because the list lags and may be unavailable. Any other router is removed when the list no longer contains it.
 *
 * @param options - `self`: name of this instance. `initial`: routers in the settings file.
 *
 * @example
 * const directory = new PeerDirectory({ self: 'r1', initial: settings.routers })
 * directory.subscribe(peers => pool.update(peers))
 */
export class PeerDirectory {
  readonly #self: string
  readonly #initial: readonly PeerAddress[]
  readonly #listeners: Array<(peers: PeerAddress[]) => void> = []
  #peers: PeerAddress[]

  constructor (options: { self: string, initial: readonly PeerAddress[] }) {
    this.#self = options.self
    this.#initial = options.initial
    this.#peers = this.#merge([])
  }

  list (): PeerAddress[] {
    return this.#peers
  }

  /** Calls the listener at once and after each change. */
  subscribe (listener: (peers: PeerAddress[]) => void): void {
    this.#listeners.push(listener)
    listener(this.#peers)
  }

  /** Applies a new list of the platform; listeners are called if the addresses changed. */
  update (instances: readonly PlatformInstance[]): void {
    const next = this.#merge(instances)
    if (JSON.stringify(next) === JSON.stringify(this.#peers)) return
    this.#peers = next
    for (const listener of this.#listeners) listener(next)
  }

  #merge (instances: readonly PlatformInstance[]): PeerAddress[] {
    const peers = new Map(this.#initial.map(peer => [peer.instance, peer]))
    for (const { instance, kind, zone, host, port } of instances) {
      if (kind === 'router') peers.set(instance, { instance, zone, host, port })
    }
    peers.delete(this.#self)
    return [...peers.values()].sort((a, b) => a.instance < b.instance ? -1 : 1)
  }
}
