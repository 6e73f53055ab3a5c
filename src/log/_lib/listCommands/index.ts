import type { ReplicaCore } from '../../ReplicaCore'
import { cborCodec } from '../cborCodec'

/** Keeps a reply with many entries below the maximum frame size of a link. */
const MAX_LISTED_BYTES = 4 * 1024 * 1024

interface Range {
  afterOffset: number
  throughOffset: number
  maxEntries: number
}

/** Lists the commands of a range of committed entries, or returns undefined if the first of them have been truncated. */
export function listCommands (core: ReplicaCore, { afterOffset, throughOffset, maxEntries }: Range): Array<{ offset: number, command: unknown }> | undefined {
  if (afterOffset < core.baseOffset) return undefined
  const entries: Array<{ offset: number, command: unknown }> = []
  let bytes = 0
  for (let offset = afterOffset + 1; offset <= throughOffset && entries.length < maxEntries; offset++) {
    const { command } = core.getEntry(offset)!
    bytes += command?.length ?? 0
    if (entries.length > 0 && bytes > MAX_LISTED_BYTES) break
    entries.push({ offset, command: command ? cborCodec.decode(command) : null })
  }
  return entries
}
