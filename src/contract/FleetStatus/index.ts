import { z } from 'zod'
import { QuorumStatus } from '../QuorumStatus'

/**
 * @name FleetStatus
 * @category Contract
 * @summary What `papayalead status` shows.
 *
 * @description
 * `isSettled` is false during the first seconds of a control process, while routers may exist that have not reported.
 * A target is `drained` only when every live router has stopped sending to it and none has work there.
 *
 * @example
 * FleetStatus.parse({ answeredBy: 'c1', isSettled: true, offset: 0, quorum, instances: [], targets: [], accounts: [] })
 */
export const FleetStatus = z.object({
  answeredBy: z.string(),
  isSettled: z.boolean(),
  offset: z.number(),
  quorum: QuorumStatus,
  instances: z.array(z.object({ instance: z.string(), zone: z.string(), isReady: z.boolean(), offset: z.number(), ageMs: z.number(), waiting: z.number(), running: z.number() })),
  targets: z.array(z.object({ target: z.string(), service: z.string(), zone: z.string(), slots: z.number(), running: z.number(), state: z.enum(['in-service', 'draining', 'drained']) })),
  accounts: z.array(z.object({ account: z.string(), weight: z.number(), waiting: z.number(), running: z.number() }))
})
export type FleetStatus = z.infer<typeof FleetStatus>
