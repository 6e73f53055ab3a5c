import { Decoder } from 'cbor-x'
import { AppError } from '../../contract/AppError'
import { FRAME_HEADER_BYTES } from '../_lib/FRAME_HEADER_BYTES'
import { MAX_FRAME_BYTES } from '../_lib/MAX_FRAME_BYTES'
import { PROTOCOL_VERSION } from '../_lib/PROTOCOL_VERSION'

const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

/**
 * @name FrameDecoder
 * @category Link
 * @summary Splits a byte stream into messages.
 *
 * @description
 * Keeps the bytes of an incomplete frame until the rest arrives. Throws on a frame that is too large, has another
 * protocol version or is not CBOR; the caller must then close the connection.
 *
 * @example
 * for (const message of decoder.read(chunk)) handle(message)
 */
export class FrameDecoder {
  #buffered: Buffer = Buffer.alloc(0)

  /** Number of buffered bytes that are not a whole frame yet. */
  get pendingBytes (): number {
    return this.#buffered.length
  }

  * read (chunk: Buffer): Generator<unknown> {
    this.#buffered = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk])
    while (this.#buffered.length >= FRAME_HEADER_BYTES) {
      const length = this.#readLength()
      const end = FRAME_HEADER_BYTES + length
      if (this.#buffered.length < end) return
      const payload = this.#buffered.subarray(FRAME_HEADER_BYTES, end)
      this.#buffered = this.#buffered.subarray(end)
      yield decodePayload(payload)
    }
  }

  #readLength (): number {
    const length = this.#buffered.readUInt32BE(0)
    const version = this.#buffered.readUInt8(4)
    if (version !== PROTOCOL_VERSION) {
      throw new AppError('version-mismatch', `Expected protocol version ${PROTOCOL_VERSION}, received ${version}.`)
    }
    if (length > MAX_FRAME_BYTES) {
      throw new AppError('frame-too-large', `A frame of ${length} bytes exceeds the limit of ${MAX_FRAME_BYTES}.`)
    }
    return length
  }
}

function decodePayload (payload: Buffer): unknown {
  try {
    return decoder.decode(payload)
  } catch (cause) {
    throw new AppError('frame-invalid', 'The payload of a frame is not valid CBOR.', { cause })
  }
}
