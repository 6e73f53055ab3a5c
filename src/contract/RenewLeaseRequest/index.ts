import { z } from 'zod'

/**
 * @name RenewLeaseRequest
 * @category Contract
 * @summary Message `renewLease`, sent by a router to the control leader of the group `idempotency` every second.
 *
 * @example
 * RenewLeaseRequest.parse({ session: 'a1/1', closed: [{ target: 'runner-1', running: 2 }] })
 */
export const RenewLeaseRequest = z.object({
  /** Incarnation of the router and the number of its session. */
  session: z.string().min(1).max(200),
  /** Targets that this router sends no new requests to, with the number of its requests that still run there. */
  closed: z.array(z.object({ target: z.string(), running: z.number().int().nonnegative() }))
})
export type RenewLeaseRequest = z.infer<typeof RenewLeaseRequest>
