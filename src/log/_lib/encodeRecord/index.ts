import { crc32 } from 'node:zlib'
import { RECORD_HEADER_BYTES } from '../RECORD_HEADER_BYTES'
import { RECORD_MAGIC } from '../RECORD_MAGIC'

/** Encodes a payload as a record with a checksum. `batchStart`: position in the file of the first record of the same sync. */
export function encodeRecord (payload: Uint8Array, batchStart: number): Buffer {
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length)
  record.writeUInt16BE(RECORD_MAGIC, 0)
  record.writeUInt32BE(payload.length, 2)
  record.writeUInt32BE(batchStart, 10)
  record.set(payload, RECORD_HEADER_BYTES)
  record.writeUInt32BE(crc32(record.subarray(10)), 6)
  return record
}
