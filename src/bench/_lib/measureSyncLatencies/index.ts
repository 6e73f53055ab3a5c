import { open, rm } from 'node:fs/promises'
import { join } from 'node:path'

const RECORD_BYTES = 300

/**
 * Measures the latency in milliseconds of `count` appends of one record, each with one `fdatasync`, in the directory of
 * the log.
 */
export async function measureSyncLatencies (directory: string, count: number): Promise<number[]> {
  const path = join(directory, 'sync-probe')
  const file = await open(path, 'a')
  const durations: number[] = []
  for (let i = 0; i < count; i++) {
    const startMs = performance.now()
    await file.appendFile(Buffer.alloc(RECORD_BYTES, i))
    await file.datasync()
    durations.push(performance.now() - startMs)
  }
  await file.close()
  await rm(path)
  return durations
}
