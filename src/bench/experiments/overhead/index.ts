import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startFleet } from '../../../../test/_lib/startFleet'
import { LoadSettings } from '../../../load/LoadSettings'
import type { LoadReport } from '../../../load/LoadReport'
import { runLoad } from '../../../load/runLoad'
import { createMachineNote } from '../../_lib/createMachineNote'
import { createMemoryProbe } from '../../_lib/createMemoryProbe'
import { readProcessUsage } from '../../_lib/readProcessUsage'
import type { Experiment } from '../../Experiment'
import type { ExperimentReport } from '../../ExperimentReport'

type Fleet = Awaited<ReturnType<typeof startFleet>>
type Router = Fleet['routers'][number]

/** One measurement: the router, its role, the kind of the calls sent to it, and the seed of the load. */
interface LoadScenario {
  fleet: Fleet
  router: Router
  role: 'scheduler' | 'other'
  kind: 'read' | 'completion'
  seed: number
}

const RATE = 200
const WARM_UP_MS = 5_000
const LATENCY_MS = 20_000
const THROUGHPUT_MS = 10_000
const THROUGHPUT_CALLERS = 32
const MEMORY_SAMPLES = 10
const MEMORY_REQUESTS = 100_000
const MAX_OVERHEAD_P50_MS = 1.5
const MAX_OVERHEAD_P99_MS = 5
const MIN_REQUESTS_PER_S = 1_500
/** Heap growth below this share is noise from caches and compiled code. */
const MAX_HEAP_GROWTH = 0.05
const MIB = 1024 * 1024

const CALLS = {
  read: { kind: 'read', service: 'booking' },
  completion: { kind: 'completion', service: 'llama', maxTokens: [1, 1] }
} as const

/** Objective M6: latency overhead of the router, its throughput, and whether its memory grows. */
export const overhead: Experiment = {
  name: 'overhead',
  measure: async ({ seed }) => {
    const directory = mkdtempSync(join(tmpdir(), 'papayalead-overhead-'))
    const probe = createMemoryProbe(join(directory, 'memory.json'))
    const fleet = await startFleet({
      accounts: { a: { maxQueued: 10_000 } },
      engines: [{ name: 'e1', zone: 'z1', service: 'llama', slots: 64, options: { firstTokenMs: 0, tokenMs: 0, maxBatch: 64 } }],
      bookings: [{ name: 'b1', zone: 'z1', service: 'booking', slots: 64 }],
      routersPerZone: 2,
      hasProxies: false,
      router: { logLevel: 'info' },
      routerNodeFlags: probe.nodeFlags,
      logDirectory: directory
    })
    try {
      return await measureRouter(fleet, findRouterRoles(fleet, directory), seed, probe)
    } finally {
      await fleet.stop()
      rmSync(directory, { recursive: true, force: true })
    }
  }
}

interface Roles {
  scheduler: Router
  /** A router that gets its slots from the scheduler over a link, as all routers of a zone but the scheduler do. */
  other: Router
}

/** Finds the scheduler of the zone: the router whose log has the latest line about an election. */
function findRouterRoles (fleet: Fleet, directory: string): Roles {
  const lastElections = fleet.routers.map(router => {
    const lines = readFileSync(join(directory, `${router.name}.log`), 'utf8').split('\n').filter(line => line.includes('is now the scheduler'))
    return lines.length === 0 ? '' : JSON.parse(lines[lines.length - 1]).timestamp as string
  })
  const isFirst = lastElections[0] > lastElections[1]
  const [scheduler, other] = isFirst ? fleet.routers : [...fleet.routers].reverse()
  return { scheduler, other }
}

async function measureRouter (fleet: Fleet, roles: Roles, seed: number, probe: ReturnType<typeof createMemoryProbe>): Promise<ExperimentReport> {
  const report: ExperimentReport = { title: 'Router overhead', tables: [], objectives: [], notes: [] }
  for (const role of ['other', 'scheduler'] as const) {
    for (const kind of ['read', 'completion'] as const) await measureLatency({ fleet, router: roles[role], seed, kind, role }, report)
  }
  for (const kind of ['read', 'completion'] as const) await measureThroughput({ fleet, router: roles.other, seed, kind, role: 'other' }, report)
  await measureMemory({ fleet, router: roles.other, seed, kind: 'read', role: 'other' }, probe, report)
  report.notes.push(
    'Direct and routed calls run at the same time, each at 200 requests/s at even intervals over keep-alive connections; the difference of the quantiles is the overhead.',
    'The router, the control replica, the stand-in targets and the load generator are separate processes on loopback addresses; the router logs at its default level into a file.',
    createMachineNote()
  )
  return report
}

function runCalls ({ fleet, router, kind }: LoadScenario, options: { seed: number, isDirect?: boolean, group: object }): Promise<LoadReport> {
  const target = kind === 'read' ? fleet.bookings[0] : fleet.engines[0]
  const url = options.isDirect ? target.url : router.url
  const group = { accounts: [{ name: 'a', key: 'key-a' }], calls: [CALLS[kind]], ...options.group }
  return runLoad(LoadSettings.parse({ urls: [url], seed: options.seed, isDirect: options.isDirect, groups: [group] }))
}

async function measureLatency (scenario: LoadScenario, report: ExperimentReport): Promise<void> {
  const { seed, kind, role } = scenario
  const roleText = role === 'scheduler' ? 'the zone scheduler' : 'a router that is not the scheduler'
  const runDirectAndRouted = (durationMs: number) => Promise.all([true, false].map(isDirect => {
    return runCalls(scenario, { seed, isDirect, group: { loop: 'open', rate: RATE, arrivals: 'uniform', durationMs } })
  }))
  await runDirectAndRouted(WARM_UP_MS)
  const [direct, routed] = (await runDirectAndRouted(LATENCY_MS)).map(({ total }) => total)
  assertComplete(direct)
  assertComplete(routed)
  const rows = (['p50Ms', 'p90Ms', 'p99Ms', 'maxMs'] as const).map(quantile => {
    const [a, b] = [direct.serviceTime[quantile], routed.serviceTime[quantile]]
    return [quantile.replace('Ms', ''), a.toFixed(2), b.toFixed(2), (b - a).toFixed(2), (b / a).toFixed(2)]
  })
  report.tables.push({ title: `Latency of a ${kind} through ${roleText} at ${RATE} requests/s (${routed.requests} requests each way)`, columns: ['quantile', 'direct ms', 'routed ms', 'difference ms', 'ratio'], rows })
  for (const [quantile, bound] of [['p50Ms', MAX_OVERHEAD_P50_MS], ['p99Ms', MAX_OVERHEAD_P99_MS]] as const) {
    const difference = routed.serviceTime[quantile] - direct.serviceTime[quantile]
    report.objectives.push({ name: `M6 overhead of a ${kind} through ${roleText}, ${quantile.replace('Ms', '')}`, bound: `at most ${bound} ms`, measured: `${difference.toFixed(2)} ms`, isMet: difference <= bound })
  }
}

async function measureThroughput (scenario: LoadScenario, report: ExperimentReport): Promise<void> {
  const { seed, kind } = scenario
  const { pid } = scenario.router
  const group = { loop: 'closed', concurrency: THROUGHPUT_CALLERS, durationMs: THROUGHPUT_MS }
  await runCalls(scenario, { seed, group: { ...group, durationMs: WARM_UP_MS } })
  const before = readProcessUsage(pid)
  const load = await runCalls(scenario, { seed: seed + 1, group })
  const cpuS = readProcessUsage(pid).cpuS - before.cpuS
  assertComplete(load.total)
  const perCoreS = load.total.requests / cpuS
  // V8 runs helper threads beside the main thread, so a router can use slightly more than one core. The rate on one core
  // is therefore the smaller of the measured rate and the requests per CPU second.
  const sustained = Math.min(load.requestsPerS, perCoreS)
  report.tables.push({
    title: `Throughput of small requests (${kind}), ${THROUGHPUT_CALLERS} callers in a closed loop`,
    columns: ['requests', 'requests/s', 'CPU s of the router', 'requests per CPU second', 'CPU µs per request', 'p50 ms', 'p99 ms'],
    rows: [[load.total.requests, load.requestsPerS.toFixed(0), cpuS.toFixed(2), perCoreS.toFixed(0), (cpuS * 1e6 / load.total.requests).toFixed(0), load.total.serviceTime.p50Ms.toFixed(2), load.total.serviceTime.p99Ms.toFixed(2)]]
  })
  report.objectives.push({ name: `M6 small requests on one core (${kind})`, bound: `at least ${MIN_REQUESTS_PER_S}/s`, measured: `${sustained.toFixed(0)}/s`, isMet: sustained >= MIN_REQUESTS_PER_S })
}

/**
 * Measures the memory before the load and after each batch of requests. The batches alternate between completions and
 * reads; `scenario.kind` is not used.
 */
async function measureMemory (scenario: LoadScenario, probe: ReturnType<typeof createMemoryProbe>, report: ExperimentReport): Promise<void> {
  const samples: Array<{ requests: number, heapBytes: number, rssBytes: number }> = []
  for (let sample = 0; sample <= MEMORY_SAMPLES; sample++) {
    if (sample > 0) {
      const group = { loop: 'closed', concurrency: THROUGHPUT_CALLERS, maxRequests: MEMORY_REQUESTS / MEMORY_SAMPLES }
      const { total } = await runCalls({ ...scenario, kind: sample % 2 === 0 ? 'read' : 'completion' }, { seed: scenario.seed + 10 + sample, group })
      assertComplete(total)
    }
    const memory = await probe.measure(name => scenario.router.signal(name))
    samples.push({ requests: sample * MEMORY_REQUESTS / MEMORY_SAMPLES, ...memory })
  }
  report.tables.push({
    title: 'Memory of the router after a full collection',
    columns: ['requests', 'heap MiB', 'resident MiB'],
    rows: samples.map(({ requests, heapBytes, rssBytes }) => [requests, (heapBytes / MIB).toFixed(2), (rssBytes / MIB).toFixed(1)])
  })
  const [first, last] = [samples[0].heapBytes, samples[samples.length - 1].heapBytes]
  const growth = (last - first) / first
  report.objectives.push({ name: `M6 heap after a collection over ${MEMORY_REQUESTS} requests`, bound: `grows by at most ${MAX_HEAP_GROWTH * 100}%`, measured: `${(growth * 100).toFixed(1)}%`, isMet: growth <= MAX_HEAP_GROWTH })
}

function assertComplete (figures: LoadReport['total']): void {
  const { complete = 0 } = figures.outcomes
  if (complete !== figures.requests) throw new Error(`Expected all requests to complete; outcomes and error kinds: ${JSON.stringify([figures.outcomes, figures.errorKinds])}`)
}
