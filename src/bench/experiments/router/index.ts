import { RouterLoad } from '../../../../platform/_lib/RouterLoad'
import { createMachineNote } from '../../_lib/createMachineNote'
import { readProcessUsage } from '../../_lib/readProcessUsage'
import type { Experiment } from '../../Experiment'
import type { ExperimentReport } from '../../ExperimentReport'

interface Scenario {
  name: string
  ratePerS: number
  durationMs: number
  send: (load: RouterLoad) => Promise<number>
  /** Whether the registry is frozen during this scenario and the following ones. */
  isAlone?: boolean
}

const STREAM_EVENTS = 24
const WARM_UP_CALLS = 1_500
const WARM_UP_RATE_PER_S = 150
const IDLE_MS = 10_000
const OBJECTIVES = { idleCores: 0.01, refusedMs: 0.1, callMs: 0.6, eventUs: 20 }

const REFUSED = 'refused call'
const PLAIN = 'plain call'
const SHORT_STREAM = 'stream of 1 event'
const LONG_STREAM = `stream of ${STREAM_EVENTS} events`

const scenarios: readonly Scenario[] = [
  { name: 'readiness check', ratePerS: 100, durationMs: 5_000, send: load => load.checkReadiness() },
  { name: REFUSED, ratePerS: 200, durationMs: 5_000, send: load => load.sendRefusedCall() },
  { name: PLAIN, ratePerS: 100, durationMs: 8_000, send: load => load.sendPlainCall() },
  { name: 'call whose caller leaves', ratePerS: 100, durationMs: 5_000, send: load => load.cancelCall() },
  { name: SHORT_STREAM, ratePerS: 60, durationMs: 10_000, send: load => load.sendStream(1) },
  { name: LONG_STREAM, ratePerS: 60, durationMs: 10_000, send: load => load.sendStream(STREAM_EVENTS) },
  { name: 'stream of 1 event, placed by the router alone', ratePerS: 60, durationMs: 5_000, send: load => load.sendStream(1), isAlone: true }
]

/** Processor time of the platform's router for each operation. `PAPAYALEAD_BASE_BUNDLE`: a build to compare with. */
export const router: Experiment = {
  name: 'router',
  measure: async () => {
    const base = process.env.PAPAYALEAD_BASE_BUNDLE
    const newest = await measureBundle('dist/platform.cjs')
    const earlier = base === undefined ? undefined : await measureBundle(base)
    return createReport(newest, earlier)
  }
}

/** Returns the processor time in milliseconds for each operation, and for a second without any as `idle second`. */
async function measureBundle (bundle: string): Promise<Map<string, number>> {
  const load = await RouterLoad.open({ bundle })
  try {
    await runWarmUp(load)
    const idleMsPerS = await measureIdle(load)
    const costs = new Map([['idle second', idleMsPerS]])
    for (const scenario of scenarios) costs.set(scenario.name, await measureScenario(scenario, load, idleMsPerS))
    const [long, short] = [costs.get(LONG_STREAM)!, costs.get(SHORT_STREAM)!]
    return costs.set('event of a stream', (long - short) / (STREAM_EVENTS - 1))
  } finally {
    await load.close()
  }
}

async function runWarmUp (load: RouterLoad): Promise<void> {
  const durationMs = WARM_UP_CALLS / WARM_UP_RATE_PER_S * 1_000
  await runPaced({ ratePerS: WARM_UP_RATE_PER_S, durationMs }, index => index % 2 === 0 ? load.sendPlainCall() : load.sendStream(2))
}

async function measureIdle (load: RouterLoad): Promise<number> {
  const before = readProcessUsage(load.router.pid!).cpuS
  await new Promise(resolve => setTimeout(resolve, IDLE_MS))
  return (readProcessUsage(load.router.pid!).cpuS - before) * 1e6 / IDLE_MS
}

async function measureScenario ({ ratePerS, durationMs, send, isAlone = false }: Scenario, load: RouterLoad, idleMsPerS: number): Promise<number> {
  if (isAlone) load.pauseRegistry()
  await runPaced({ ratePerS, durationMs: 1_000 }, () => send(load))
  const before = readProcessUsage(load.router.pid!).cpuS
  const startedMs = performance.now()
  const calls = await runPaced({ ratePerS, durationMs }, () => send(load))
  const elapsedS = (performance.now() - startedMs) / 1e3
  return ((readProcessUsage(load.router.pid!).cpuS - before) * 1e3 - idleMsPerS * elapsedS) / calls
}

/** Sends calls at even intervals and waits until all have ended. Returns their number. */
async function runPaced ({ ratePerS, durationMs }: { ratePerS: number, durationMs: number }, send: (index: number) => Promise<number>): Promise<number> {
  const total = Math.round(ratePerS * durationMs / 1_000)
  const startedMs = performance.now()
  const running: Array<Promise<number>> = []
  while (running.length < total) {
    const due = Math.min(total, Math.ceil((performance.now() - startedMs) * ratePerS / 1_000))
    while (running.length < due) running.push(send(running.length))
    await new Promise(resolve => setTimeout(resolve, 2))
  }
  await Promise.all(running)
  return total
}

function createReport (newest: Map<string, number>, earlier: Map<string, number> | undefined): ExperimentReport {
  const rows = [...newest].map(([name, costMs]) => {
    const earlierMs = earlier?.get(name)
    return [name, costMs.toFixed(3), earlierMs?.toFixed(3) ?? '-', earlierMs === undefined ? '-' : (costMs / earlierMs).toFixed(2)]
  })
  const objectives = [
    createObjective('idle', newest.get('idle second')! / 1e3, OBJECTIVES.idleCores, 'cores'),
    createObjective(REFUSED, newest.get(REFUSED)!, OBJECTIVES.refusedMs, 'ms'),
    createObjective(PLAIN, newest.get(PLAIN)!, OBJECTIVES.callMs, 'ms'),
    createObjective(SHORT_STREAM, newest.get(SHORT_STREAM)!, OBJECTIVES.callMs, 'ms'),
    createObjective('event of a stream', newest.get('event of a stream')! * 1e3, OBJECTIVES.eventUs, 'µs')
  ]
  return {
    title: 'Processor time of a router on the platform',
    objectives,
    tables: [{ title: 'Processor time for each operation', columns: ['operation', 'ms', 'ms, earlier build', 'ratio'], rows }],
    notes: [
      'The router runs as shipped (bundle, one process) with a registry replica; targets and callers are in the process that measures. Calls come at even intervals, so each pays for its own wake-ups. Idle time is subtracted.',
      'The registry is frozen for the last scenario; placements then cost a short time-out now and then.',
      createMachineNote()
    ]
  }
}

function createObjective (name: string, measured: number, bound: number, unit: string): ExperimentReport['objectives'][number] {
  return { name, bound: `at most ${bound} ${unit}`, measured: `${measured.toFixed(3)} ${unit}`, isMet: measured <= bound }
}
