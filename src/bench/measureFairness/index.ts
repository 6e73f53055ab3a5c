import { listAccountLoads } from '../_lib/fairness/listAccountLoads'
import { listFaultCases } from '../_lib/fairness/listFaultCases'
import { measureDecision } from '../_lib/fairness/measureDecision'
import { measureScheduler } from '../_lib/fairness/measureScheduler'
import type { ExperimentReport } from '../ExperimentReport'

const SHORT_RUN_MS = 340_000
const LONG_RUN_MS = 3_040_000
const SETTLED_AT_MS = 40_000
const ROUTERS = 9
const RUNNERS = [13, 8]
const SCHEDULER_KINDS = ['fleet', 'zone', 'first come first served', 'round robin per router', 'fair queuing per router'] as const
const DECISION_SIZES = [130, 1_300, 5_200, 13_000].map(backlogged => ({ accounts: 13_000, backlogged }))
const MAX_DECISION_US = 50
const MAX_BYTES_PER_REQUEST = 100
const MAX_IDLE_BYTES_PER_S = 1_000
const MAX_IDLE_SLOT_SHARE = 0.01
const MAX_WAIT_RATIO = 3

type Measured = ReturnType<typeof measureScheduler>
type Objective = ExperimentReport['objectives'][number]

const formatShare = (share: number): string => `${(share * 100).toFixed(3)}%`
const formatInteger = (value: number): number => Math.round(value)

function createObjective (name: string, bound: number, measured: number, unit: string): Objective {
  return { name, bound: `at most ${formatInteger(bound)} ${unit}`, measured: `${Math.round(measured * 100) / 100} ${unit}`, isMet: measured <= bound }
}

function createRow (labels: Array<string | number>, measured: Measured): Array<string | number> {
  const { gap, generatedGap, gapOverTime, idleShare, waitMs, requests, bytes } = measured
  const waits = [waitMs.p50, waitMs.p95, waitMs.p99].map(wait => Math.round(wait))
  return [...labels, formatInteger(gap), formatInteger(generatedGap), gapOverTime.map(formatInteger).join(' '), formatShare(idleShare), ...waits, requests, requests > 0 ? Math.round(bytes / requests) : 0]
}

function measureSchedulerKinds (seed: number): { rows: Array<Array<string | number>>, fleet: Map<string, Measured> } {
  const rows: Array<Array<string | number>> = []
  const fleet = new Map<string, Measured>()
  for (const runners of RUNNERS) {
    for (const kind of SCHEDULER_KINDS) {
      for (const untilMs of [SHORT_RUN_MS, LONG_RUN_MS]) {
        const measured = measureScheduler({ seed, runners, kind, loads: listAccountLoads(), settledAtMs: SETTLED_AT_MS, untilMs })
        rows.push(createRow([runners, kind, (untilMs - SETTLED_AT_MS) / 1_000], measured))
        if (kind === 'fleet') fleet.set(`${runners}/${untilMs}`, measured)
      }
    }
  }
  return { rows, fleet }
}

/**
 * Measures the queueing times of the small accounts in two runs: one without the account `large-1`, and one in which
 * that account always has 1,000 requests queued, spread evenly over all routers.
 */
function measureFlood (seed: number, runners: number): { withoutFlood: Measured, flood: Measured } {
  const loads = listAccountLoads()
  const routerShares = new Array<number>(ROUTERS).fill(1 / ROUTERS)
  const floodLoads = loads.map(load => load.name === 'large-1' ? { ...load, queued: 1_000, routerShares } : load)
  const measure = (selected: typeof loads): Measured =>
    measureScheduler({ seed, runners, kind: 'fleet', loads: selected, settledAtMs: SETTLED_AT_MS, untilMs: SHORT_RUN_MS })
  return { withoutFlood: measure(loads.filter(load => load.name !== 'large-1')), flood: measure(floodLoads) }
}

function measureFaults (seed: number, runners: number): Array<{ name: string, measured: Measured }> {
  return listFaultCases().map(({ name, loads, settledAtMs, schedule }) =>
    ({ name, measured: measureScheduler({ seed, runners, kind: 'fleet', loads, settledAtMs, untilMs: SHORT_RUN_MS, schedule }) }))
}

/**
 * @name measureFairness
 * @category Bench
 * @summary Measures fairness on a simulated fleet, against objectives M1 to M5 of the design page.
 *
 * @description
 * M1 to M4 are measured in simulated runs of this scheduler, which are also compared with simpler schedulers. M5 is the
 * CPU time of one decision and is measured on the decision code alone.
 *
 * @param options - Seed of the load.
 * @returns Measured values and objectives.
 *
 * @example
 * const report = await measureFairness({ seed: 1 })
 */
export async function measureFairness ({ seed }: { seed: number }): Promise<ExperimentReport> {
  const { rows, fleet } = measureSchedulerKinds(seed)
  const idle = measureScheduler({ seed, runners: 13, kind: 'fleet', loads: [], settledAtMs: SETTLED_AT_MS, untilMs: SHORT_RUN_MS })
  const idleBytesPerS = idle.bytes / ROUTERS / ((SHORT_RUN_MS - SETTLED_AT_MS) / 1_000)
  const decisions = DECISION_SIZES.map(sizes => ({ ...sizes, us: measureDecision(sizes) }))
  const objectives: Objective[] = []
  const floodRows: Array<Array<string | number>> = []
  const faultRows: Array<Array<string | number>> = []
  for (const runners of RUNNERS) {
    const [short, long] = [SHORT_RUN_MS, LONG_RUN_MS].map(untilMs => fleet.get(`${runners}/${untilMs}`)!)
    const { withoutFlood, flood } = measureFlood(seed, runners)
    const faults = measureFaults(seed, runners)
    floodRows.push(createRow([runners, 'no flood'], withoutFlood), createRow([runners, 'flood'], flood))
    faultRows.push(...faults.map(({ name, measured }) => [...createRow([runners, name], measured), measured.maxSlotsInUse]))
    const bytesPerRequestAboveIdle = (short.bytes - idle.bytes) / short.requests
    objectives.push(
      createObjective(`M1 gap, ${runners} runners`, short.bound, short.gap, 'tokens'),
      createObjective(`M1 gap over a run ten times longer, ${runners} runners`, long.bound, long.gap, 'tokens'),
      ...faults.map(({ name, measured }) => createObjective(`M1 gap after ${name}, ${runners} runners`, measured.bound, measured.gap, 'tokens')),
      createObjective(`M2 p99 wait with a flood / without, ${runners} runners`, MAX_WAIT_RATIO, flood.waitMs.p99 / Math.max(1, withoutFlood.waitMs.p99), 'times'),
      { name: `M3 idle slots while queued, ${runners} runners`, bound: `below ${formatShare(MAX_IDLE_SLOT_SHARE)}`, measured: formatShare(long.idleShare), isMet: long.idleShare < MAX_IDLE_SLOT_SHARE },
      createObjective(`M4 control traffic of a request over the idle traffic, ${runners} runners`, MAX_BYTES_PER_REQUEST, bytesPerRequestAboveIdle, 'bytes')
    )
  }
  objectives.push(createObjective('M4 control traffic of an idle router', MAX_IDLE_BYTES_PER_S, idleBytesPerS, 'bytes/s'))
  objectives.push(createObjective('M5 decision with 1,300 of 13,000 accounts backlogged', MAX_DECISION_US, decisions[1].us, 'µs'))
  const figures = ['gap (granted)', 'gap (generated)', 'gap in fifths of the run', 'idle slots while queued', 'small p50 ms', 'small p95 ms', 'small p99 ms', 'requests', 'bytes/request']
  return {
    title: 'Fairness',
    objectives,
    tables: [
      { title: 'Schedulers', columns: ['runners', 'scheduler', 'seconds', ...figures], rows },
      { title: 'Small accounts and a flood', columns: ['runners', 'case', ...figures], rows: floodRows },
      { title: 'Faults', columns: ['runners', 'fault', ...figures, 'most requests on one target (8 slots)'], rows: faultRows },
      { title: 'Decisions', columns: ['accounts', 'backlogged', 'µs'], rows: decisions.map(({ accounts, backlogged, us }) => [accounts, backlogged, Math.round(us * 10) / 10]) }
    ],
    notes: [
      'Simulated clock; 9 routers in 3 zones, with a one-way latency of 1.5 ms between zones and 0.25 ms within a zone; 8 slots per runner, 30 ms per token; 16 accounts, of which 3 are large. All messages are encoded to count their bytes; TCP and IP headers are not counted.',
      'The gap of two accounts is how much the difference between their service varies while both are continuously backlogged; the largest gap of all pairs is reported. Gap (granted) counts the cost of a request when it starts. Gap (generated) counts tokens as they are generated.',
      'Gaps are measured after a settling time of 40 s, because the longest request takes 30 s and keeps its slot for that time. After a fault, the settling time starts when the fault ends.',
      'The baselines assign free slots without delay, so their idle time is zero by construction. "zone" is this scheduler without the exchange between zones.',
      'Causes of gaps above the bound: zones grant slots based on totals that are up to 50 ms old, so two zones may give a slot to the same account at once; an account with requests in a zone may be ahead there by a quarter of the largest request; the charge of a grant is based on the mean estimate of the queued requests and is corrected to the estimate of one request only when that request starts. In a trial with all routers in one zone, the gap was 1,911 to 2,292 tokens.',
      'Causes of control traffic above the bound: a request needs the operations `backlog`, `grant`, `start` and `release`; most requests of large accounts run on lent slots, which adds three messages between zones; the header of a message is about as long as its content.'
    ]
  }
}
