import { createMachineNote } from '../../_lib/createMachineNote'
import { FAULTS } from '../../_lib/delivery/FAULTS'
import { measureIdempotencyCost } from '../../_lib/delivery/measureIdempotencyCost'
import { measureRollingRestart } from '../../_lib/delivery/measureRollingRestart'
import { runFaultCase } from '../../_lib/delivery/runFaultCase'
import type { Experiment } from '../../Experiment'
import type { ExperimentReport } from '../../ExperimentReport'

type CaseResult = Awaited<ReturnType<typeof runFaultCase>>

const PARALLEL_CASES = 2
/** Violations of the delivery guarantees, which must not occur. */
const VIOLATION_COUNTS = [
  ['run twice', ({ counts }: CaseResult) => counts.duplicateRuns],
  ['reported as not run but run', ({ counts }: CaseResult) => counts.falseNotRun],
  ['reported as complete but not run', ({ counts }: CaseResult) => counts.falseComplete],
  ['responses mixed up', ({ counts }: CaseResult) => counts.mismatchedResponses],
  ['streams interrupted', ({ interrupted }: CaseResult) => interrupted],
  ['streams with wrong tokens', ({ wrongTokens }: CaseResult) => wrongTokens]
] as const

/**
 * Objectives M8 and M9: outcomes under single faults and pairs of faults, a rolling restart, and the drain of a target;
 * also the latency cost of the idempotency record.
 */
export const delivery: Experiment = {
  name: 'delivery',
  measure: async ({ seed }) => {
    const report: ExperimentReport = { title: 'Delivery', tables: [], objectives: [], notes: [] }
    addCases(report, await runCases(seed))
    addRollingRestart(report, await measureRollingRestart())
    addIdempotencyCost(report, await measureIdempotencyCost())
    report.notes.push(
      'Each case runs on a fleet of its own: three routers, three control replicas, two booking targets and two engines, all separate processes. The faults begin 1.5 s after the load and last 7 s. Half of the bookings carry an idempotency key. Keyed bookings without a complete response are resent once after the faults; the outcomes are those of the last response.',
      'Outcomes are checked against the records of the booking targets. Streams go through the router that no fault stops.',
      'A maintenance window that begins under load, also at a router that is cut off from the control replicas, is covered by test/delivery.test.ts.',
      createMachineNote()
    )
    return report
  }
}

async function runCases (seed: number): Promise<CaseResult[]> {
  const pairs = FAULTS.flatMap((first, index) => FAULTS.slice(index + 1).map(second => [first, second]))
  // The faults that kill and pause a router affect the same one, and a killed process can't be paused.
  const cases = [[], ...FAULTS.map(fault => [fault]), ...pairs.filter(pair => !(pair.includes(FAULTS[1]) && pair.includes(FAULTS[2])))]
  const results: CaseResult[] = []
  let next = 0
  const runNext = async (): Promise<void> => {
    while (next < cases.length) {
      const index = next++
      results[index] = await runFaultCase(cases[index], seed + index)
    }
  }
  await Promise.all(Array.from({ length: PARALLEL_CASES }, runNext))
  return results
}

function addCases (report: ExperimentReport, results: CaseResult[]): void {
  const columns = ['faults', 'bookings', 'resent', 'complete', 'not run', 'unknown', ...VIOLATION_COUNTS.map(([name]) => name), 'streams']
  const rows = results.map(result => {
    const { bookings, resent, complete, notRun, unknown } = result.counts
    return [result.name, bookings, resent, complete, notRun, unknown, ...VIOLATION_COUNTS.map(([, count]) => count(result)), result.streams]
  })
  report.tables.push({ title: 'Bookings and streams under faults', columns, rows })
  const bookings = results.reduce((sum, { counts }) => sum + counts.bookings, 0)
  const streams = results.reduce((sum, result) => sum + result.streams, 0)
  for (const [name, count] of VIOLATION_COUNTS) {
    const total = results.reduce((sum, result) => sum + count(result), 0)
    report.objectives.push({ name: `M8 ${name}`, bound: '0', measured: `${total} (${name.startsWith('streams') ? `${streams} streams` : `${bookings} bookings`})`, isMet: total === 0 })
  }
  const { unknown } = results[0].counts
  report.objectives.push({ name: 'M8 unknown outcomes without a fault', bound: '0', measured: `${unknown}`, isMet: unknown === 0 })
}

function addRollingRestart (report: ExperimentReport, result: Awaited<ReturnType<typeof measureRollingRestart>>): void {
  const { counts, interrupted, drainMs } = result
  const failed = counts.notRun + counts.unknown + interrupted
  report.objectives.push({ name: 'M9 failed requests in a rolling restart of nine routers', bound: '0', measured: `${failed} (${counts.bookings} bookings, ${result.streams} streams)`, isMet: failed === 0 })
  report.objectives.push({ name: 'M9 last new work on a target after an operator drained it', bound: 'at most 3000 ms', measured: `${drainMs} ms`, isMet: drainMs <= 3_000 })
}

function addIdempotencyCost (report: ExperimentReport, { bookings, unkeyed, keyed }: Awaited<ReturnType<typeof measureIdempotencyCost>>): void {
  const getQuantile = (sorted: number[], part: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))]
  const rows = [['p50', 0.5], ['p90', 0.9], ['p99', 0.99]].map(([name, part]) => {
    const [a, b] = [getQuantile(unkeyed, Number(part)), getQuantile(keyed, Number(part))]
    return [name, a.toFixed(2), b.toFixed(2), (b - a).toFixed(2), (b / a).toFixed(2)]
  })
  report.tables.push({ title: `Cost of the idempotency record (${bookings} bookings each, one at a time)`, columns: ['quantile', 'without key ms', 'with key ms', 'difference ms', 'ratio'], rows })
}
