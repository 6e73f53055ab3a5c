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
  handleMessage: (from: SimNode, type: string, body: unknown, names: NameDecoder) => void
}

interface Connection {
  encoder: NameEncoder
  decoder: NameDecoder
  /** Messages delayed by a partition. TCP likewise retransmits unacknowledged data until the partition ends. */
  delayedDeliveries: Array<() => void>
}

/** Simulated links between the routers of the experiment. Encodes each message to count its bytes. */
export class SimNetwork {
  bytes = 0
  readonly bytesByType = new Map<string, number>()
  readonly #clock: SimClock
  readonly #connections = new Map<string, Connection>()
  #isPartitioned: (from: SimNode, to: SimNode) => boolean = () => false

  constructor (clock: SimClock) {
    this.#clock = clock
  }

  send (from: SimNode, to: SimNode, type: string, createBody: (names: NameEncoder) => unknown): void {
    const connection = this.#getConnection(from, to)
    const body = createBody(connection.encoder)
    if (from !== to) this.#countBytes(type, encodeFrame([type, 0, body]).length)
    const runHandler = (): void => { if (to.isAlive) to.handleMessage(from, type, body, connection.decoder) }
    if (this.#isPartitioned(from, to)) connection.delayedDeliveries.push(runHandler)
    else this.#clock.schedule(this.#getLatency(from, to), runHandler)
  }

  /**
   * Starts, changes or ends a partition. Delayed messages are delivered when their connection is no longer partitioned.
   */
  setPartition (isPartitioned: (from: SimNode, to: SimNode) => boolean, nodes: readonly SimNode[]): void {
    this.#isPartitioned = isPartitioned
    for (const from of nodes) {
      for (const to of nodes) {
        if (isPartitioned(from, to)) continue
        const connection = this.#getConnection(from, to)
        for (const deliver of connection.delayedDeliveries.splice(0)) this.#clock.schedule(this.#getLatency(from, to), deliver)
      }
    }
  }

  /** Drops the connections of a restarted process, with their name tables and delayed messages. */
  resetConnections (node: SimNode): void {
    for (const key of [...this.#connections.keys()]) {
      if (key.split('>').includes(node.instance)) this.#connections.delete(key)
    }
  }

  #countBytes (type: string, bytes: number): void {
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
      connection = { encoder: new NameEncoder(), decoder: new NameDecoder(), delayedDeliveries: [] }
      this.#connections.set(key, connection)
    }
    return connection
  }
}
