import { z } from 'zod'

/**
 * @name StoredDocument
 * @category Contract
 * @summary A route document in the bytes that the operator sent, with its version.
 *
 * @example
 * StoredDocument.parse({ version: 3, content: new Uint8Array() })
 */
export const StoredDocument = z.object({
  version: z.number().int().nonnegative(),
  content: z.custom<Uint8Array>(value => value instanceof Uint8Array)
})
export type StoredDocument = z.infer<typeof StoredDocument>
