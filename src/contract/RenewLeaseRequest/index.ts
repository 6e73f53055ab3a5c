import { z } from 'zod'

/**
 * @name RenewLeaseRequest
 * @category Contract
 * @summary Message `renewLease`, router to the control leader of the group `idempotency`, every second.
 *
 * @description
 * `session`: the router's incarnation and the number of its session. `closed`: targets that get no new work from this
 * router, with the requests that still run there.
 *
 * @example
 * RenewLeaseRequest.parse({ session: 'a1/1', closed: [{ target: 'runner-1', running: 2 }] })
 */
export const RenewLeaseRequest = z.object({
  session: z.string().min(1).max(200),
  closed: z.array(z.object({ target: z.string(), running: z.number().int().nonnegative() }))
})
export type RenewLeaseRequest = z.infer<typeof RenewLeaseRequest>
