import type { RouteDocument } from '../RouteDocument'

/**
 * @name DocumentCodec
 * @category Contract
 * @summary Reads the form in which operators write route documents.
 *
 * @description
 * `decode` throws AppError `invalid-settings` if the document can't be read or is not valid. The bytes are stored and
 * returned to operators as they were sent.
 *
 * @example
 * const document = codec.decode(bytes)
 */
export interface DocumentCodec {
  decode: (content: Uint8Array) => RouteDocument
}
