import type { RouteDocument } from '../RouteDocument'

/**
 * @name DocumentCodec
 * @category Contract
 * @summary Decodes route documents from the format in which operators write them.
 *
 * @description
 * A document is checked once, before it is stored. Routers and replicas that get it from the log decode it without the
 * checks, which cost several times as much as the decoding.
 *
 * @example
 * const document = codec.decode(bytes)
 */
export interface DocumentCodec {
  /**
   * Throws AppError `invalid-settings` if the document can't be decoded or is not valid. Callers store the original
   * bytes and return them to operators unchanged.
   */
  decode: (content: Uint8Array) => RouteDocument
  /** Decodes a document that `decode` has accepted before. The result for any other document is unspecified. */
  decodeStored: (content: Uint8Array) => RouteDocument
}
