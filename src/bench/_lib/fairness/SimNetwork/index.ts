import { encodeFrame } from '../../../../link/encodeFrame'
import { NameDecoder } from '../../../../schedule/NameDecoder'
import { NameEncoder } from '../../../../schedule/NameEncoder'
import type { SimClock } from '../SimClock'

const ZONE_LATENCY_MS = 0.25
const CROSS_ZONE_LATENCY_MS = 1.5

interface SimNode {
  instance: string
  zone: string
  isAlive: boolean
  handle: (from: SimNode, type: string, body: unknown, names: NameDecoder) => void
}

interface Connection {
  encoder: NameEncoder
  decoder: NameDecoder
  /** Messages that wait for the end of a partition, as unacknowledged data of a TCP connection does. */
  held: Array<() => void>
}

/** Links between the routers of the experiment. Encodes each message to count its bytes. */
export class SimNetwork {
  bytes = 0
  readonly bytesByType = new Map<string, number>()
  readonly #clock: SimClock
  readonly #connections = new Map<string, Connection>()
  #isBlocked: (from: SimNode, to: SimNode) => boolean = () => false

  constructor (clock: SimClock) {
    this.#clock = clock
  }

  send (from: SimNode, to: SimNode, type: string, createBody: (names: NameEncoder) => unknown): void {
    const connection = this.#getConnection(from, to)
    const body = createBody(connection.encoder)
    if (from !== to) this.#count(type, encodeFrame([type, 0, body]).length)
    const runHandler = (): void => { if (to.isAlive) to.handle(from, type, body, connection.decoder) }
    if (this.#isBlocked(from, to)) connection.held.push(runHandler)
    else this.#clock.schedule(this.#getLatency(from, to), runHandler)
  }

  /** Starts, changes or ends a partition. Held messages are delivered when their connection is free again. */
  setPartition (isBlocked: (from: SimNode, to: SimNode) => boolean, nodes: readonly SimNode[]): void {
    this.#isBlocked = isBlocked
    for (const from of nodes) {
      for (const to of nodes) {
        if (isBlocked(from, to)) continue
        const connection = this.#getConnection(from, to)
        for (const deliver of connection.held.splice(0)) this.#clock.schedule(this.#getLatency(from, to), deliver)
      }
    }
  }

  /** A restarted process has new connections. */
  reset (node: SimNode): void {
    for (const key of [...this.#connections.keys()]) {
      if (key.split('>').includes(node.instance)) this.#connections.delete(key)
    }
  }

  #count (type: string, bytes: number): void {
    this.bytes += bytes
    this.bytesByType.set(type, (this.bytesByType.get(type) ?? 0) + bytes)
  }

  #getLatency (from: SimNode, to: SimNode): number {
    if (from === to) return 0
    return from.zone === to.zone ? ZONE_LATENCY_MS : CROSS_ZONE_LATENCY_MS
  }

  #getConnection (from: SimNode, to: SimNode): Connection {
    const key = `${from.instance}>${to.instance}`
    let connection = this.#connections.get(key)
    if (!connection) {
      connection = { encoder: new NameEncoder(), decoder: new NameDecoder(), held: [] }
      this.#connections.set(key, connection)
    }
    return connection
  }
}
