import { availableParallelism, cpus, loadavg } from 'node:os'

/** Describes the machine and its load in one sentence, for the notes of a report. */
export function createMachineNote (): string {
  return `Machine: ${availableParallelism()} cores (${cpus()[0]?.model ?? 'unknown'}), shared with other work; load average over 1 minute at the end of the run ${loadavg()[0].toFixed(1)}; Node.js ${process.version}.`
}
