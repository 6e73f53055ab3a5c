import { Encoder } from 'cbor-x'
import { AppError } from '../../contract/AppError'
import { FRAME_HEADER_BYTES } from '../_lib/FRAME_HEADER_BYTES'
import { MAX_FRAME_BYTES } from '../_lib/MAX_FRAME_BYTES'
import { PROTOCOL_VERSION } from '../_lib/PROTOCOL_VERSION'

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })

/**
 * @name encodeFrame
 * @category Link
 * @summary Encodes a message as one frame.
 *
 * @description
 * Layout: payload length (4 bytes, big-endian), protocol version (1 byte), CBOR payload.
 *
 * @param message - Any value that CBOR can represent.
 * @returns The bytes of the frame.
 * @throws AppError `frame-too-large` if the payload exceeds the limit.
 *
 * @example
 * socket.write(encodeFrame(['heartbeat', 0, { term: 3 }]))
 */
export function encodeFrame (message: unknown): Buffer {
  const payload = encoder.encode(message)
  if (payload.length > MAX_FRAME_BYTES) {
    throw new AppError('frame-too-large', `A frame of ${payload.length} bytes exceeds the limit of ${MAX_FRAME_BYTES}.`)
  }
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length)
  frame.writeUInt32BE(payload.length, 0)
  frame.writeUInt8(PROTOCOL_VERSION, 4)
  payload.copy(frame, FRAME_HEADER_BYTES)
  return frame
}
