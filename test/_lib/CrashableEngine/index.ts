import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { TargetEntry } from '../../../src/contract/TargetEntry'

interface CrashableEngineOptions {
  id: string
  /** Address of its own, so that no outgoing connection takes its port while the engine is down. */
  host: string
  /** Part of a prompt on which the engine crashes. */
  crashPart: string
  /** The engine's entry in the list of targets after each start. */
  onStart: (entry: TargetEntry) => void
}

const PREFILL_MS = 30
const EVENTS = 6
const EVENT_INTERVAL_MS = 40
const DOWN_MS = 2_000
const SLOTS = 16

/**
 * An engine that answers with streams of events. When it begins to answer a prompt with `crashPart`, it resets all its
 * connections and refuses new ones; later it listens on the same port again, as a new run with a new id. The body of a
 * request lists the parts of its prompt, separated by commas.
 */
export class CrashableEngine {
  /** Times at which the engine crashed. */
  readonly crashedAtMs: number[] = []
  /** Times at which requests with `crashPart` arrived. */
  readonly arrivedAtMs: number[] = []
  readonly #options: CrashableEngineOptions
  readonly #sockets = new Set<Socket>()
  readonly #timers = new Set<NodeJS.Timeout>()
  #server!: Server
  #port = 0
  #runs = 0
  #isUp = false

  constructor (options: CrashableEngineOptions) {
    this.#options = options
  }

  async start (): Promise<void> {
    const { id, host } = this.#options
    this.#server = createServer((request, response) => { this.#handle(request, response).catch(() => {}) })
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.on('error', () => {}).on('close', () => this.#sockets.delete(socket))
    })
    await new Promise<void>((resolve, reject) => this.#server.once('error', reject).listen(this.#port, host, () => resolve()))
    this.#port = (this.#server.address() as AddressInfo).port
    this.#isUp = true
    this.#options.onStart({ id: `${id}.${++this.#runs}`, service: 's', host, port: this.#port, zone: 'z1', slots: SLOTS, isDraining: false, warmupMs: 0 })
  }

  close (): void {
    for (const timer of this.#timers) clearTimeout(timer)
    this.#stop()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    const run = this.#runs
    for await (const chunk of request) chunks.push(chunk)
    const isCrashing = Buffer.concat(chunks).toString().split(',').includes(this.#options.crashPart)
    if (isCrashing) this.arrivedAtMs.push(performance.now())
    await this.#wait(PREFILL_MS)
    if (!this.#isUp || run !== this.#runs) return
    if (isCrashing) return this.#crash()
    response.writeHead(200, { 'call-id': String(request.headers['call-id']), signature: 's', 'content-type': 'text/event-stream' })
    for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= EVENTS && !response.destroyed; id++) {
      response.write(`id: ${id}\ndata: ${id}\n\n`)
      await this.#wait(EVENT_INTERVAL_MS)
    }
    response.end()
  }

  #crash (): void {
    this.crashedAtMs.push(performance.now())
    this.#stop()
    this.#wait(DOWN_MS).then(() => this.start(), () => {})
  }

  #stop (): void {
    this.#isUp = false
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  #wait (ms: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.#timers.delete(timer)
        resolve()
      }, ms)
      this.#timers.add(timer)
    })
  }
}
