import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { ListenAddress } from '../../contract/ListenAddress'
import type { FaultRule } from '../FaultRule'

type Direction = 'toTarget' | 'toClient'
type FaultRules = Record<Direction, FaultRule>

const PASS: FaultRule = { mode: 'pass' }
/** Bytes buffered for a held direction before the proxy applies backpressure to its sender. */
const MAX_HELD_BYTES = 256 * 1024

/** Forwards one direction of one connection. */
class Stream {
  hasLostBytes = false
  readonly #from: Socket
  readonly #to: Socket
  readonly #getRule: () => FaultRule
  readonly #held: Array<Buffer | 'end'> = []
  #heldBytes = 0
  readonly #delayed: Array<{ chunk: Buffer | 'end', dueAtMs: number }> = []

  constructor (from: Socket, to: Socket, getRule: () => FaultRule) {
    this.#from = from
    this.#to = to
    this.#getRule = getRule
    from.on('data', chunk => this.#accept(chunk))
    from.on('end', () => this.#accept('end'))
    to.on('drain', () => from.resume())
  }

  /** Forwards the held data, unless the rule still holds this direction. */
  flush (): void {
    if (this.#getRule().mode === 'hold') return
    this.#from.resume()
    this.#heldBytes = 0
    for (const chunk of this.#held.splice(0)) this.#accept(chunk)
  }

  #accept (chunk: Buffer | 'end'): void {
    const { mode, delayMs = 0 } = this.#getRule()
    if (mode === 'drop') this.hasLostBytes = true
    else if (mode === 'hold') this.#enqueue(chunk)
    else if (delayMs > 0 || this.#delayed.length > 0) this.#scheduleWrite(chunk, delayMs)
    else this.#write(chunk)
  }

  #enqueue (chunk: Buffer | 'end'): void {
    this.#held.push(chunk)
    this.#heldBytes += chunk.length
    if (this.#heldBytes > MAX_HELD_BYTES) this.#from.pause()
  }

  #scheduleWrite (chunk: Buffer | 'end', delayMs: number): void {
    this.#delayed.push({ chunk, dueAtMs: performance.now() + delayMs })
    if (this.#delayed.length === 1) this.#scheduleNext()
  }

  /** Uses one timer at a time to keep the order of chunks: timers of different durations may fire out of order. */
  #scheduleNext (): void {
    setTimeout(() => {
      this.#write(this.#delayed.shift()!.chunk)
      if (this.#delayed.length > 0) this.#scheduleNext()
    }, Math.max(0, this.#delayed[0].dueAtMs - performance.now()))
  }

  #write (chunk: Buffer | 'end'): void {
    if (this.#to.destroyed) return
    if (chunk === 'end') this.#to.end()
    else if (!this.#to.write(chunk)) this.#from.pause()
  }
}

/** The connection from a client and the corresponding connection to the target. */
class ProxiedConnection {
  readonly #client: Socket
  readonly #target: Socket
  readonly #streams: Stream[]
  #hasClosedSocket = false

  constructor (client: Socket, target: Socket, options: { getRule: (direction: Direction) => FaultRule, onClose: () => void }) {
    this.#client = client
    this.#target = target
    this.#streams = [
      new Stream(client, target, () => options.getRule('toTarget')),
      new Stream(target, client, () => options.getRule('toClient'))
    ]
    const sourceSockets: Array<[Socket, Direction]> = [[client, 'toTarget'], [target, 'toClient']]
    for (const [socket, direction] of sourceSockets) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => {
        // The close is propagated only if the direction passes data: in a partition, the other side does not see it.
        this.#hasClosedSocket = true
        if (options.getRule(direction).mode === 'pass') this.#closeAfter(options.getRule(direction).delayMs ?? 0)
        if (client.destroyed && target.destroyed) options.onClose()
      })
    }
  }

  handleRuleChange (): void {
    if (this.#hasClosedSocket || this.#streams.some(stream => stream.hasLostBytes)) return this.reset()
    for (const stream of this.#streams) stream.flush()
  }

  reset (): void {
    this.#client.resetAndDestroy()
    this.#target.resetAndDestroy()
  }

  #closeAfter (delayMs: number): void {
    const close = (): void => {
      for (const socket of [this.#client, this.#target]) if (!socket.destroyed) socket.destroySoon()
    }
    if (delayMs > 0) setTimeout(close, delayMs)
    else close()
  }
}

/**
 * @name FaultProxy
 * @category Stand-in
 * @summary TCP proxy that injects faults between two processes.
 *
 * @description
 * The rule of each direction applies to open and new connections. A new connection is accepted whatever the rules, so a
 * partition that drops data looks like a peer that never replies. `reset` aborts all connections with RST.
 * `refuseConnections` aborts new ones with RST.
 *
 * @param target - Address to which connections are forwarded. It may be set later and changed.
 *
 * @example
 * const proxy = new FaultProxy({ host: '127.0.0.1', port: 8000 })
 * const { port } = await proxy.listen({ host: '127.0.0.1', port: 0 })
 * proxy.setRules({ toTarget: { mode: 'drop' } }) // one-way partition
 * proxy.setRules({}) // partition healed
 */
export class FaultProxy {
  target?: ListenAddress
  refuseConnections = false
  #rules: FaultRules = { toTarget: PASS, toClient: PASS }
  readonly #connections = new Set<ProxiedConnection>()
  readonly #server: Server

  constructor (target?: ListenAddress) {
    this.target = target
    this.#server = createServer({ allowHalfOpen: true }, client => this.#acceptClient(client))
  }

  /**
   * @throws Error of node:net if the address can't be bound.
   */
  listen (address: ListenAddress): Promise<ListenAddress> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(address.port, address.host, () => {
        resolve({ host: address.host, port: (this.#server.address() as AddressInfo).port })
      })
    })
  }

  /** Replaces the rules of both directions. A direction without a rule passes data. */
  setRules (rules: Partial<FaultRules>): void {
    this.#rules = { toTarget: PASS, toClient: PASS, ...rules }
    for (const connection of [...this.#connections]) connection.handleRuleChange()
  }

  /** Aborts all connections. */
  reset (): void {
    for (const connection of [...this.#connections]) connection.reset()
  }

  close (): Promise<void> {
    this.reset()
    return new Promise(resolve => this.#server.close(() => resolve()))
  }

  #acceptClient (client: Socket): void {
    if (this.refuseConnections || !this.target) {
      client.resetAndDestroy()
      return
    }
    const target = connect({ ...this.target, allowHalfOpen: true })
    const connection: ProxiedConnection = new ProxiedConnection(client, target, {
      getRule: direction => this.#rules[direction],
      onClose: () => this.#connections.delete(connection)
    })
    this.#connections.add(connection)
  }
}
