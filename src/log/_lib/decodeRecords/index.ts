import { crc32 } from 'node:zlib'
import { AppError } from '../../../contract/AppError'
import { RECORD_HEADER_BYTES } from '../RECORD_HEADER_BYTES'
import { RECORD_MAGIC } from '../RECORD_MAGIC'

interface DecodedRecords {
  payloads: Buffer[]
  /** Length of the intact part of the file. The bytes after it are a torn tail. */
  intactBytes: number
}

interface FoundRecord {
  payload: Buffer
  /** Position in the file of the first record of the same sync. */
  batchStart: number
  end: number
}

function findRecordAt (bytes: Buffer, position: number): FoundRecord | undefined {
  if (position + RECORD_HEADER_BYTES > bytes.length || bytes.readUInt16BE(position) !== RECORD_MAGIC) return undefined
  const end = position + RECORD_HEADER_BYTES + bytes.readUInt32BE(position + 2)
  if (end > bytes.length || crc32(bytes.subarray(position + 10, end)) !== bytes.readUInt32BE(position + 6)) return undefined
  return { payload: bytes.subarray(position + RECORD_HEADER_BYTES, end), batchStart: bytes.readUInt32BE(position + 10), end }
}

/**
 * Splits a file into records. A batch of records that was not synced may be torn at any place, so a damaged record
 * is the start of the torn tail unless an intact record of a later batch follows. A later batch is written only after
 * the sync of the earlier one, so its presence shows that synced bytes were damaged.
 */
export function decodeRecords (bytes: Buffer, name: string): DecodedRecords {
  const payloads: Buffer[] = []
  let position = 0
  while (position < bytes.length) {
    const record = findRecordAt(bytes, position)
    if (!record) break
    payloads.push(record.payload)
    position = record.end
  }
  // 0xb1 is the first byte of RECORD_MAGIC.
  for (let at = bytes.indexOf(0xb1, position + 1); at !== -1; at = bytes.indexOf(0xb1, at + 1)) {
    const later = findRecordAt(bytes, at)
    if (later && later.batchStart > position) {
      throw new AppError('log-corrupted', `${name}: the record at byte ${position} is damaged, but synced records follow it.`)
    }
  }
  return { payloads, intactBytes: position }
}
