import type { AccountLoad } from '../AccountLoad'
import { computePercentile } from '../computePercentile'
import { FairnessRun } from '../FairnessRun'

/**
 * Longest interval at which zone schedulers exchange account state. While few accounts change, they use a shorter one.
 */
const EXCHANGE_INTERVAL_MS = 200

interface SchedulerMeasurement {
  /** Largest gap between two accounts in granted cost, in tokens. */
  gap: number
  /** Largest gap between two accounts in generated tokens. */
  generatedGap: number
  /**
   * Bound of the gap, in tokens: twice the cost of the largest request, plus the tokens that all slots of the fleet can
   * generate in the longest exchange interval.
   */
  bound: number
  /** Largest gap in granted cost in each fifth of the run. */
  gapOverTime: number[]
  /** Share of slot time that was idle while requests were queued. */
  idleShare: number
  /** Queueing times of the small accounts. */
  waitMs: { p50: number, p95: number, p99: number }
  requests: number
  /** Encoded size of the messages between the routers. */
  bytes: number
  /** Highest number of requests that ran on one target at once. */
  maxSlotsInUse: number
}

/** Runs one scheduler and measures it from `settledAtMs` until `untilMs`. */
export function measureScheduler (options: ConstructorParameters<typeof FairnessRun>[0] & { settledAtMs: number, untilMs: number, schedule?: (run: FairnessRun) => void, loads: readonly AccountLoad[] }): SchedulerMeasurement {
  const run = new FairnessRun(options)
  options.schedule?.(run)
  run.run(options.settledAtMs)
  run.meter.reset(options.settledAtMs)
  const [bytesBefore, startedBefore] = [run.network.bytes, run.startedCount]
  run.run(options.untilMs)
  const waits = [...run.meter.waits].filter(([account]) => account.startsWith('small')).flatMap(([, values]) => values)
  return {
    gap: run.meter.granted.largestGap,
    generatedGap: run.meter.generated.largestGap,
    bound: 2 * run.largestCost + run.computeTokenCapacity(EXCHANGE_INTERVAL_MS),
    gapOverTime: run.meter.granted.listLargestGaps(options.untilMs, 5),
    idleShare: run.meter.idleShare,
    waitMs: { p50: computePercentile(waits, 0.5), p95: computePercentile(waits, 0.95), p99: computePercentile(waits, 0.99) },
    requests: run.startedCount - startedBefore,
    bytes: run.network.bytes - bytesBefore,
    maxSlotsInUse: run.targets.maxSlotsInUse
  }
}
