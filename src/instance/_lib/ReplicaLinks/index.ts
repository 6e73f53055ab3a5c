import { AppError } from '../../../contract/AppError'
import type { ListenAddress } from '../../../contract/ListenAddress'
import type { LogGroup } from '../../../contract/LogGroup'
import type { PeerAddress } from '../../../contract/PeerAddress'
import { LinkClient } from '../../../link/LinkClient'
import type { LinkOptions } from '../../../link/LinkOptions'
import type { ReplicaTransport } from '../../../log/ReplicaTransport'
import { SnapshotParts } from '../SnapshotParts'

const PING_INTERVAL_MS = 500
/** A link that answers no ping within this time is replaced; in a silent partition, TCP alone would wait for minutes. */
const PING_TIMEOUT_MS = 1_000

/**
 * Links of a control process to the other replicas. A replica sends all its messages, including replies, on the links
 * that it opened itself.
 */
export class ReplicaLinks {
  readonly #clients: Map<string, LinkClient>
  readonly #options: LinkOptions
  readonly #findAddress: (instance: string) => ListenAddress | undefined
  readonly #timer: NodeJS.Timeout

  /** `findAddress` returns the address of an instance that joined the cluster later. */
  constructor (peers: readonly PeerAddress[], options: LinkOptions, findAddress: (instance: string) => ListenAddress | undefined = () => undefined) {
    this.#options = options
    this.#findAddress = findAddress
    this.#clients = new Map(peers.map(peer => [peer.instance, new LinkClient(peer, options)]))
    this.#timer = setInterval(() => {
      for (const client of this.#clients.values()) void closeIfUnresponsive(client)
    }, PING_INTERVAL_MS)
  }

  createTransport (group: LogGroup): ReplicaTransport {
    return {
      send: message => {
        const client = this.#getClient(message.to.split(':')[0])
        if (!client) return
        for (const request of SnapshotParts.listParts(group, message)) client.send('replicate', request)
      },
      request: (instance, type, body, options) => {
        const client = this.#getClient(instance)
        if (!client) return Promise.reject(new AppError('control-unavailable', `There is no link to ${instance}.`))
        return client.request(type, { group, command: body }, options)
      }
    }
  }

  #getClient (instance: string): LinkClient | undefined {
    const client = this.#clients.get(instance)
    if (client) return client
    const address = this.#findAddress(instance)
    if (!address) return undefined
    const added = new LinkClient(address, this.#options)
    this.#clients.set(instance, added)
    return added
  }

  close (): void {
    clearInterval(this.#timer)
    for (const client of this.#clients.values()) client.close()
  }
}

async function closeIfUnresponsive (client: LinkClient): Promise<void> {
  const { link } = client
  try {
    await link?.request('ping', null, { timeoutMs: PING_TIMEOUT_MS })
  } catch {
    link?.close()
  }
}
