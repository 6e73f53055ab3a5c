import { join } from 'node:path'
import { AppError } from '../../../contract/AppError'
import { LogEntry } from '../../../contract/LogEntry'
import type { FileSystem } from '../../FileSystem'
import { cborCodec } from '../cborCodec'
import { decodeRecords } from '../decodeRecords'
import { encodeRecord } from '../encodeRecord'

const SEGMENT_NAME = /^segment-(\d{12})\.log$/
const SEGMENT_NUMBER_DIGITS = 12

interface Segment {
  name: string
  /** Highest offset of an entry in the file, 0 if there is none. */
  lastOffset: number
}

type OpenFile = Awaited<ReturnType<FileSystem['openFile']>>

/**
 * Segment files of the log, in the order of their numbers. Only the newest one is written to. An entry whose offset is
 * not above its predecessor's replaces all entries from that offset on, so that a replaced tail needs no truncation.
 */
export class SegmentFiles {
  readonly #fileSystem: FileSystem
  readonly #directory: string
  #segments: Segment[] = []
  #nextNumber = 1
  #file!: OpenFile
  #fileBytes = 0

  private constructor (fileSystem: FileSystem, directory: string) {
    this.#fileSystem = fileSystem
    this.#directory = directory
  }

  /** Reads all segments and opens the newest, or creates the first one. */
  static async open (fileSystem: FileSystem, directory: string): Promise<{ segments: SegmentFiles, entries: LogEntry[] }> {
    const segments = new SegmentFiles(fileSystem, directory)
    return { segments, entries: await segments.#load() }
  }

  async append (entries: readonly LogEntry[]): Promise<void> {
    const batchStart = this.#fileBytes
    const bytes = Buffer.concat(entries.map(entry => encodeRecord(cborCodec.encode(entry), batchStart)))
    await this.#file.append(bytes)
    await this.#file.sync()
    this.#fileBytes += bytes.length
    const segment = this.#segments.at(-1)!
    for (const { offset } of entries) segment.lastOffset = Math.max(segment.lastOffset, offset)
  }

  /** Starts a new segment and removes older ones that hold only entries up to an offset. */
  async startSegment (throughOffset: number): Promise<void> {
    await this.#file.close()
    await this.#create()
    while (this.#segments.length > 1 && this.#segments[0].lastOffset <= throughOffset) {
      await this.#fileSystem.removeFile(join(this.#directory, this.#segments[0].name))
      this.#segments.shift()
    }
    await this.#fileSystem.syncDirectory(this.#directory)
  }

  /** Starts a new segment and removes all older ones, newest first, so that a crash leaves no gap between entries. */
  async clear (): Promise<void> {
    await this.#file.close()
    await this.#create()
    while (this.#segments.length > 1) {
      await this.#fileSystem.removeFile(join(this.#directory, this.#segments.at(-2)!.name))
      await this.#fileSystem.syncDirectory(this.#directory)
      this.#segments.splice(-2, 1)
    }
  }

  async close (): Promise<void> {
    await this.#file.close()
  }

  async #load (): Promise<LogEntry[]> {
    const names = (await this.#fileSystem.listFiles(this.#directory)).filter(name => SEGMENT_NAME.test(name)).sort()
    const entries: LogEntry[] = []
    for (const name of names) await this.#loadSegment(name, entries, name === names.at(-1))
    this.#nextNumber = Number(SEGMENT_NAME.exec(names.at(-1) ?? '')?.[1] ?? 0) + 1
    if (names.length === 0) await this.#create()
    return entries
  }

  async #loadSegment (name: string, entries: LogEntry[], isNewest: boolean): Promise<void> {
    const path = join(this.#directory, name)
    const bytes = Buffer.from(await this.#fileSystem.readFile(path) ?? [])
    const { payloads, intactBytes } = decodeRecords(bytes, name)
    if (intactBytes < bytes.length && !isNewest) throw new AppError('log-corrupted', `${name}: the end of a closed segment is damaged.`)
    const segment: Segment = { name, lastOffset: 0 }
    for (const payload of payloads) {
      const entry = LogEntry.parse(cborCodec.decode(payload))
      segment.lastOffset = Math.max(segment.lastOffset, entry.offset)
      addEntry(entries, entry, name)
    }
    this.#segments.push(segment)
    if (!isNewest) return
    this.#file = await this.#fileSystem.openFile(path)
    this.#fileBytes = intactBytes
    if (intactBytes < bytes.length) await this.#file.truncate(intactBytes)
    // Makes entries durable that a killed process had written but not synced.
    await this.#file.sync()
  }

  async #create (): Promise<void> {
    const name = `segment-${String(this.#nextNumber++).padStart(SEGMENT_NUMBER_DIGITS, '0')}.log`
    this.#file = await this.#fileSystem.openFile(join(this.#directory, name))
    await this.#file.sync()
    await this.#fileSystem.syncDirectory(this.#directory)
    this.#fileBytes = 0
    this.#segments.push({ name, lastOffset: 0 })
  }
}

function addEntry (entries: LogEntry[], entry: LogEntry, name: string): void {
  const [first] = entries
  if (first && entry.offset <= first.offset) entries.length = 0
  else if (first && entry.offset - first.offset < entries.length) entries.length = entry.offset - first.offset
  const last = entries.at(-1)
  if (last && entry.offset !== last.offset + 1) throw new AppError('log-corrupted', `${name}: entries are missing: entry ${entry.offset} follows entry ${last.offset}.`)
  entries.push(entry)
}
