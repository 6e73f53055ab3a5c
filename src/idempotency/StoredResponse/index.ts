import { z } from 'zod'

/**
 * @name StoredResponse
 * @category Idempotency
 * @summary How a keyed call ended.
 *
 * @description
 * `complete` with the response that a resend gets. `too-large`: the call is complete, but its response was not stored.
 * `unknown`: the call may have run.
 *
 * @example
 * StoredResponse.parse({ kind: 'unknown' })
 */
export const StoredResponse = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('complete'),
    status: z.number().int(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    body: z.instanceof(Uint8Array)
  }),
  z.object({ kind: z.literal('too-large') }),
  z.object({ kind: z.literal('unknown') })
])
export type StoredResponse = z.infer<typeof StoredResponse>
