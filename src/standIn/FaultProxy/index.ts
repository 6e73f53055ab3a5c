import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { ListenAddress } from '../../contract/ListenAddress'
import type { FaultRule } from '../FaultRule'

type Direction = 'toTarget' | 'toClient'
type FaultRules = Record<Direction, FaultRule>

const PASS: FaultRule = { mode: 'pass' }
/** Bytes that are held for a direction before its sender feels backpressure. */
const MAX_HELD_BYTES = 256 * 1024

/** One direction of one connection. */
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

  /** Forwards what was held, when the rule allows it. */
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

  /** One timer at a time keeps the order: timers of different durations may fire out of order. */
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

/** A connection of a client with its connection to the target. */
class Pair {
  readonly #client: Socket
  readonly #target: Socket
  readonly #streams: Stream[]
  #isClosed = false

  constructor (client: Socket, target: Socket, options: { getRule: (direction: Direction) => FaultRule, onClose: () => void }) {
    this.#client = client
    this.#target = target
    this.#streams = [
      new Stream(client, target, () => options.getRule('toTarget')),
      new Stream(target, client, () => options.getRule('toClient'))
    ]
    const sides: Array<[Socket, Direction]> = [[client, 'toTarget'], [target, 'toClient']]
    for (const [socket, direction] of sides) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => {
        // The other side learns of the end only when the direction is open, as with a partition.
        this.#isClosed = true
        if (options.getRule(direction).mode === 'pass') this.#closeAfter(options.getRule(direction).delayMs ?? 0)
        if (client.destroyed && target.destroyed) options.onClose()
      })
    }
  }

  handleRuleChange (): void {
    if (this.#isClosed || this.#streams.some(stream => stream.hasLostBytes)) return this.reset()
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
 * Rules apply to both the open and the new connections, for each direction. A new connection is always accepted, so a
 * silent partition looks like a peer that never replies. `reset` aborts all connections with RST. `refuseConnections`
 * aborts new ones.
 *
 * @param target - Where connections are forwarded to. It may be set later and changed.
 *
 * @example
 * const proxy = new FaultProxy({ host: '127.0.0.1', port: 8000 })
 * const { port } = await proxy.listen({ host: '127.0.0.1', port: 0 })
 * proxy.setRules({ toTarget: { mode: 'drop' } }) // one-way cut
 * proxy.setRules({}) // healed
 */
export class FaultProxy {
  target?: ListenAddress
  refuseConnections = false
  #rules: FaultRules = { toTarget: PASS, toClient: PASS }
  readonly #pairs = new Set<Pair>()
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

  /** Replaces the rules of both directions; a direction that is left out passes. */
  setRules (rules: Partial<FaultRules>): void {
    this.#rules = { toTarget: PASS, toClient: PASS, ...rules }
    for (const pair of [...this.#pairs]) pair.handleRuleChange()
  }

  /** Aborts all connections. */
  reset (): void {
    for (const pair of [...this.#pairs]) pair.reset()
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
    const pair: Pair = new Pair(client, target, {
      getRule: direction => this.#rules[direction],
      onClose: () => this.#pairs.delete(pair)
    })
    this.#pairs.add(pair)
  }
}
