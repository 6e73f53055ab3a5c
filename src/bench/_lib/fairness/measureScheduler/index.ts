import type { AccountLoad } from '../AccountLoad'
import { computePercentile } from '../computePercentile'
import { FairnessRun } from '../FairnessRun'

const EXCHANGE_INTERVAL_MS = 200

interface Measured {
  gap: number
  generatedGap: number
  bound: number
  gapOverTime: number[]
  idleShare: number
  waitMs: { p50: number, p95: number, p99: number }
  requests: number
  bytes: number
  maxInUse: number
}

/** Runs one scheduler until a time and measures from the time at which it has settled. */
export function measureScheduler (options: ConstructorParameters<typeof FairnessRun>[0] & { settledAtMs: number, untilMs: number, schedule?: (run: FairnessRun) => void, loads: readonly AccountLoad[] }): Measured {
  const run = new FairnessRun(options)
  options.schedule?.(run)
  run.run(options.settledAtMs)
  run.meter.reset(options.settledAtMs)
  const [bytesBefore, startedBefore] = [run.network.bytes, run.startedCount]
  run.run(options.untilMs)
  const waits = [...run.meter.waits].filter(([account]) => account.startsWith('small')).flatMap(([, values]) => values)
  return {
    gap: run.meter.granted.largest,
    generatedGap: run.meter.generated.largest,
    bound: 2 * run.largestCost + run.computeCapacity(EXCHANGE_INTERVAL_MS),
    gapOverTime: run.meter.granted.list(options.untilMs, 5),
    idleShare: run.meter.idleShare,
    waitMs: { p50: computePercentile(waits, 0.5), p95: computePercentile(waits, 0.95), p99: computePercentile(waits, 0.99) },
    requests: run.startedCount - startedBefore,
    bytes: run.network.bytes - bytesBefore,
    maxInUse: run.targets.maxInUse
  }
}
