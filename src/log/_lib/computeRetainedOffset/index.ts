import type { LogEntry } from '../../../contract/LogEntry'

interface RetentionLimits {
  entries: number
  /** Size of the commands in bytes. */
  bytes: number
}

/** Computes the offset up to which entries can be removed, so that those up to `throughOffset` that are kept are within the limits. */
export function computeRetainedOffset (getEntry: (offset: number) => LogEntry | undefined, throughOffset: number, limits: RetentionLimits): number {
  let offset = throughOffset
  let bytes = 0
  for (let entry = getEntry(offset); entry && throughOffset - offset < limits.entries; entry = getEntry(offset)) {
    bytes += entry.command?.length ?? 0
    if (bytes > limits.bytes) break
    offset--
  }
  return offset
}
