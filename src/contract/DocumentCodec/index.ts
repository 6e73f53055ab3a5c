import type { RouteDocument } from '../RouteDocument'

/**
 * @name DocumentCodec
 * @category Contract
 * @summary Decodes route documents from the format in which operators write them.
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
}
