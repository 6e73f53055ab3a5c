import { mkdtempSync, rmSync } from 'node:fs'
import { createServer, type IncomingMessage, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { GatewaySettings } from '../../../src/contract/GatewaySettings'
import { RegistrySettings } from '../../../src/contract/RegistrySettings'
import type { RouteDocument } from '../../../src/contract/RouteDocument'
import type { TargetEntry } from '../../../src/contract/TargetEntry'
import { startGateway } from '../../../src/instance/startGateway'
import { startRegistry } from '../../../src/instance/startRegistry'
import { LifecycleManager } from '../../../src/lifecycle/LifecycleManager'
import { createTracer } from '../../../src/telemetry/createTracer'
import type { ComponentLogger } from '../../../src/telemetry/ComponentLogger'
import { PrometheusMetrics } from '../../../src/telemetry/PrometheusMetrics'
import { plainCodecs } from '../plainCodecs'
import { reservePorts } from '../reservePorts'
import { waitFor } from '../waitFor'

const CLUSTER_KEY = 'key-of-the-test-cluster'

type Registry = Awaited<ReturnType<typeof startRegistry>> & { host: string, stop: () => Promise<void> }

/** Routers that serve the routes of a route document, registry replicas on an address each, and scripted targets. */
export class GatewayFleet {
  readonly targets: TargetEntry[] = []
  readonly registries: Registry[] = []
  readonly logLines: Array<{ message: string, fields?: Record<string, unknown> }> = []
  /** Called for each log line, before the process that wrote it goes on. */
  onLog: (message: string, fields?: Record<string, unknown>) => void = () => {}
  readonly #servers: Server[] = []
  readonly #directory = mkdtempSync(join(tmpdir(), 'registry-'))
  readonly traceFile = join(this.#directory, 'spans.jsonl')
  readonly tracer = createTracer({ instance: 'edge-1', zone: 'z1', traceFile: this.traceFile, onError: error => { throw error } })
  readonly #gatewayLifecycle = new LifecycleManager()
  #ports!: number[]
  #releasePorts!: () => void
  #nextDisk = 0
  /** Address of the first router. */
  url = ''
  /** Addresses of all routers. */
  readonly urls: string[] = []
  /** Readiness checks of the routers. */
  readonly readyUrls: string[] = []

  static async start ({ registries = 1, routers = 1 } = {}): Promise<GatewayFleet> {
    const fleet = new GatewayFleet()
    const reserved = await reservePorts(1 + 2 * routers)
    fleet.#ports = reserved.ports
    fleet.#releasePorts = reserved.release
    const seeds = Array.from({ length: registries }, (_, i) => `127.0.0.${i + 1}`)
    await Promise.all(seeds.map(host => fleet.startRegistry(host, { seeds, mayForm: true })))
    for (let index = 0; index < routers; index++) await fleet.#startGateway(index, seeds)
    return fleet
  }

  async startRegistry (host: string, { seeds, mayForm, disk = `disk-${this.#nextDisk++}` }: { seeds: string[], mayForm: boolean, disk?: string }): Promise<Registry> {
    const lifecycle = new LifecycleManager()
    const settings = RegistrySettings.parse({
      instance: `c${host}`, host, zone: 'z1', http: `${host}:0`, linkPort: this.#ports[0], seeds: seeds.map(seed => `${seed}:1`), list: '127.0.0.1:1', mayForm, dataDir: join(this.#directory, disk), clusterKey: CLUSTER_KEY
    })
    const running = await startRegistry(settings, { codec: plainCodecs.documents, source: { list: async () => this.targets }, logger: this.#createLogger(), metrics: new PrometheusMetrics({ instance: host, zone: 'z1' }), lifecycle })
    const registry = { ...running, host, stop: () => lifecycle.close() }
    this.registries.push(registry)
    return registry
  }

  /** Starts a target that answers requests with the given handler. */
  async startTarget (id: string, handler: RequestListener, overrides: Partial<TargetEntry> = {}): Promise<TargetEntry> {
    const server = createServer(handler)
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
    this.#servers.push(server)
    const entry = { id, service: 's', host: '127.0.0.1', port: (server.address() as AddressInfo).port, zone: 'z1', slots: 8, isDraining: false, warmupMs: 0, ...overrides }
    this.targets.push(entry)
    return entry
  }

  async setDocument (document: Partial<RouteDocument> & { version: number }): Promise<number> {
    const content = Buffer.from(JSON.stringify({ routes: [], services: [{ name: 's' }], accounts: [], ...document }))
    let version = 0
    await waitFor('the document to be stored', async () => {
      version = await this.registries.at(-1)!.replaceDocument(content).catch(() => 0)
      return version > 0
    })
    return version
  }

  async waitUntilReady (): Promise<void> {
    await waitFor('the routers to be ready and to know the targets', async () => await this.countReady() === this.readyUrls.length && this.#getKnownTargetCount() === this.targets.length)
  }

  /** Number of routers that say that they are ready. */
  async countReady (): Promise<number> {
    const answers = await Promise.all(this.readyUrls.map(url => fetch(url)))
    return answers.filter(({ status }) => status === 200).length
  }

  /** Stops all routers gracefully. */
  stopRouters (): Promise<void> {
    return this.#gatewayLifecycle.close()
  }

  async close (): Promise<void> {
    await this.#gatewayLifecycle.close()
    await this.tracer.close()
    for (const registry of this.registries) await registry.stop()
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
    this.#releasePorts()
    rmSync(this.#directory, { recursive: true, force: true })
  }

  #getKnownTargetCount (): unknown {
    return this.logLines.findLast(({ message, fields }) => message === 'The list of targets changed.' && fields?.process === 'router')?.fields?.targets ?? 0
  }

  async #startGateway (index: number, seeds: string[]): Promise<void> {
    const [front, ready] = this.#ports.slice(1 + 2 * index)
    const settings = GatewaySettings.parse({
      instance: `edge-${index + 1}`, zone: 'z1', front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`, seeds: seeds.map(seed => `${seed}:1`), linkPort: this.#ports[0], list: '127.0.0.1:1', clusterKey: CLUSTER_KEY, graceS: 4
    })
    this.urls.push(`http://127.0.0.1:${front}`)
    this.url = this.urls[0]
    this.readyUrls.push(`http://127.0.0.1:${ready}/readyz`)
    const metrics = new PrometheusMetrics({ instance: settings.instance, zone: 'z1' })
    await startGateway(settings, { ...plainCodecs, source: { list: async () => this.targets }, logger: this.#createLogger('router'), metrics, tracer: this.tracer, lifecycle: this.#gatewayLifecycle })
  }

  #createLogger (process = 'registry'): ComponentLogger {
    const log = (message: string, fields?: Record<string, unknown>): void => {
      this.logLines.push({ message, fields: { process, ...fields } })
      this.onLog(message, fields)
    }
    return { error: log, warn: log, info: log, debug: log }
  }

  /** Creates the headers of a target's signed response to this request. */
  static createResponseHeaders (request: IncomingMessage, overrides: Record<string, string> = {}): Record<string, string> {
    return { 'call-id': String(request.headers['call-id']), signature: 's', ...overrides }
  }
}
