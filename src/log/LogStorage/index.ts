import { randomBytes } from 'node:crypto'
import { basename, dirname, join } from 'node:path'
import { AppError } from '../../contract/AppError'
import type { LogEntry } from '../../contract/LogEntry'
import { LogSnapshot } from '../../contract/LogSnapshot'
import { ReplicaVote } from '../../contract/ReplicaVote'
import { cborCodec } from '../_lib/cborCodec'
import { decodeRecords } from '../_lib/decodeRecords'
import { encodeRecord } from '../_lib/encodeRecord'
import { SegmentFiles } from '../_lib/SegmentFiles'
import { writeFileDurably } from '../_lib/writeFileDurably'
import type { FileSystem } from '../FileSystem'

const VOTE_FILE = 'vote'
const SNAPSHOT_FILE = 'snapshot'
const INCARNATION_BYTES = 8

interface LogStorageOptions {
  fileSystem: FileSystem
  directory: string
  instance: string
}

/**
 * @name LogStorage
 * @category Log
 * @summary Files of one replica of a log group: vote, snapshot and log segments.
 *
 * @description
 * Every method resolves once its effect is durable. At any time, at most one call of `append`, `truncateThrough` and
 * `clear` may be running, and at most one of each other method. Opening an empty directory creates a new disk
 * incarnation. After a failed operation the state of the files is unknown: the process must exit, and load them again
 * when it restarts.
 *
 * @example
 * const storage = await LogStorage.open({ fileSystem: new NodeFileSystem(), directory: './storage-log', instance: 'c1' })
 * await storage.append([{ offset: 1, term: 1 }])
 * await storage.close()
 */
export class LogStorage {
  readonly vote: ReplicaVote
  readonly snapshot: LogSnapshot | undefined
  /** Entries after the snapshot. */
  readonly entries: readonly LogEntry[]
  readonly #options: LogStorageOptions
  readonly #segments: SegmentFiles

  private constructor (options: LogStorageOptions, parts: { vote: ReplicaVote, snapshot?: LogSnapshot, segments: SegmentFiles, entries: LogEntry[] }) {
    this.#options = options
    this.#segments = parts.segments
    this.vote = parts.vote
    this.snapshot = parts.snapshot
    this.entries = parts.entries
  }

  /**
   * @throws AppError `log-corrupted` if synced records are damaged or missing, `disk-failed` if a disk operation fails.
   */
  static open (options: LogStorageOptions): Promise<LogStorage> {
    return runDiskOperation(() => openStorage(options, parts => new LogStorage(options, parts)))
  }

  /**
   * @throws AppError `disk-failed`.
   */
  append (entries: readonly LogEntry[]): Promise<void> {
    return runDiskOperation(() => this.#segments.append(entries))
  }

  /**
   * @throws AppError `disk-failed`.
   */
  saveVote (vote: ReplicaVote): Promise<void> {
    const { fileSystem, directory } = this.#options
    return runDiskOperation(() => writeFileDurably(fileSystem, join(directory, VOTE_FILE), encodeRecord(cborCodec.encode(vote), 0)))
  }

  /**
   * @throws AppError `disk-failed`.
   */
  saveSnapshot (snapshot: LogSnapshot): Promise<void> {
    const { fileSystem, directory } = this.#options
    return runDiskOperation(() => writeFileDurably(fileSystem, join(directory, SNAPSHOT_FILE), encodeRecord(cborCodec.encode(snapshot), 0)))
  }

  /**
   * Removes segments that hold only entries up to an offset. Called after the snapshot that covers them is saved.
   *
   * @throws AppError `disk-failed`.
   */
  truncateThrough (offset: number): Promise<void> {
    return runDiskOperation(() => this.#segments.startSegment(offset))
  }

  /**
   * Removes all entries. Called after a snapshot from the leader that replaces them is saved.
   *
   * @throws AppError `disk-failed`.
   */
  clear (): Promise<void> {
    return runDiskOperation(() => this.#segments.clear())
  }

  close (): Promise<void> {
    return runDiskOperation(() => this.#segments.close())
  }
}

async function openStorage (
  { fileSystem, directory, instance }: LogStorageOptions,
  create: (parts: { vote: ReplicaVote, snapshot?: LogSnapshot, segments: SegmentFiles, entries: LogEntry[] }) => LogStorage
): Promise<LogStorage> {
  await fileSystem.createDirectory(directory)
  await fileSystem.syncDirectory(dirname(directory))
  const voteRecord = await readRecord(fileSystem, join(directory, VOTE_FILE))
  const snapshotRecord = await readRecord(fileSystem, join(directory, SNAPSHOT_FILE))
  const snapshot = snapshotRecord === undefined ? undefined : LogSnapshot.parse(snapshotRecord)
  const hasSegments = (await fileSystem.listFiles(directory)).some(name => name.startsWith('segment-'))
  if (voteRecord !== undefined && !hasSegments) throw new AppError('log-corrupted', `${directory}: the vote file exists, but the segment files are missing.`)
  const { segments, entries } = await SegmentFiles.open(fileSystem, directory)
  if (voteRecord === undefined && (entries.length > 0 || snapshot)) {
    throw new AppError('log-corrupted', `${directory}: the vote file is missing, so this replica must not vote. Empty the directory to join again with a new disk incarnation.`)
  }
  const vote = voteRecord === undefined ? createVote(instance) : ReplicaVote.parse(voteRecord)
  if (!vote.id.startsWith(`${instance}:`)) throw new AppError('log-corrupted', `${directory} belongs to ${vote.id}, not to ${instance}.`)
  const selected = selectEntries(entries, snapshot, directory)
  // The process crashed after it had saved a snapshot from the leader and before it removed the replaced entries.
  if (selected.length === 0 && entries.length > 0) await segments.clear()
  const storage = create({ vote, snapshot, segments, entries: selected })
  if (voteRecord === undefined) await storage.saveVote(vote)
  return storage
}

function createVote (instance: string): ReplicaVote {
  return { id: `${instance}:${randomBytes(INCARNATION_BYTES).toString('hex')}`, term: 0, votedFor: null }
}

async function readRecord (fileSystem: FileSystem, path: string): Promise<unknown> {
  const bytes = await fileSystem.readFile(path)
  if (!bytes) return undefined
  const { payloads } = decodeRecords(Buffer.from(bytes), path)
  // These files are replaced by rename after a sync, so damage is not the result of a torn write.
  if (payloads.length !== 1) throw new AppError('log-corrupted', `${basename(path)}: the file does not hold exactly one record with a valid checksum.`)
  return cborCodec.decode(payloads[0])
}

/**
 * Returns the entries after the snapshot. There are none if the log ends before the snapshot or holds another term at
 * the snapshot's offset, because the snapshot then replaces the log.
 */
function selectEntries (entries: LogEntry[], snapshot: LogSnapshot | undefined, directory: string): LogEntry[] {
  const snapshotOffset = snapshot?.offset ?? 0
  const first = entries[0]?.offset ?? snapshotOffset + 1
  if (first > snapshotOffset + 1) throw new AppError('log-corrupted', `${directory}: entries ${snapshotOffset + 1} to ${first - 1} are missing.`)
  const index = entries.findIndex(({ offset }) => offset === snapshotOffset)
  if (index !== -1) return entries[index].term === snapshot!.term ? entries.slice(index + 1) : []
  return first === snapshotOffset + 1 ? entries : []
}

async function runDiskOperation<T> (run: () => Promise<T>): Promise<T> {
  try {
    return await run()
  } catch (thrown) {
    if (thrown instanceof AppError) throw thrown
    throw new AppError('disk-failed', `A disk operation of the log failed: ${thrown instanceof Error ? thrown.message : String(thrown)}`, { cause: thrown })
  }
}
