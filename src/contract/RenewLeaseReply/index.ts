import { z } from 'zod'

/**
 * @name RenewLeaseReply
 * @category Contract
 * @summary Reply to `renewLease`. After `session-ended` the router must start a new session.
 *
 * @example
 * RenewLeaseReply.parse({ status: 'granted' })
 */
export const RenewLeaseReply = z.object({ status: z.enum(['granted', 'session-ended']) })
export type RenewLeaseReply = z.infer<typeof RenewLeaseReply>
