import type { Crash } from '../../../Crash'
import { listSharedParts } from '../listSharedParts'

/** Finds the time of the latest placement of a request with each suspected part. */
export function findLatestStarts ({ prompts, startedMs }: Crash): Map<string, number> {
  const starts = new Map<string, number>()
  for (const [index, parts] of prompts.entries()) {
    for (const part of listSharedParts(parts)) starts.set(part, Math.max(starts.get(part) ?? -Infinity, startedMs?.[index] ?? -Infinity))
  }
  return starts
}
