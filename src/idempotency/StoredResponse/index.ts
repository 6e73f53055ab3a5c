import { z } from 'zod'

/**
 * @name StoredResponse
 * @category Idempotency
 * @summary Stored outcome of a call with an idempotency key.
 *
 * @example
 * StoredResponse.parse({ kind: 'unknown' })
 */
export const StoredResponse = z.discriminatedUnion('kind', [
  /** The call is complete. A resend gets this response. */
  z.object({
    kind: z.literal('complete'),
    status: z.number().int(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    body: z.instanceof(Uint8Array)
  }),
  /** The call is complete, but its response was too large to store. */
  z.object({ kind: z.literal('too-large') }),
  /** The call may have run. */
  z.object({ kind: z.literal('unknown') })
])
export type StoredResponse = z.infer<typeof StoredResponse>
