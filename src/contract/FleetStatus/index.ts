import { z } from 'zod'
import { QuorumStatus } from '../QuorumStatus'

/**
 * @name FleetStatus
 * @category Contract
 * @summary State of the fleet as one control replica knows it; shown by `papayalead status`.
 *
 * @example
 * FleetStatus.parse({ answeredBy: 'c1', isSettled: true, offset: 0, quorum, instances: [], targets: [], accounts: [] })
 */
export const FleetStatus = z.object({
  /** Control instance that created this status. */
  answeredBy: z.string(),
  /** False during the first seconds of a control process, while some live routers may not have reported yet. */
  isSettled: z.boolean(),
  /** Newest settings offset that the control instance has applied. */
  offset: z.number(),
  quorum: QuorumStatus,
  /** Live routers. */
  instances: z.array(z.object({
    instance: z.string(),
    zone: z.string(),
    isReady: z.boolean(),
    /** Newest settings offset that the router has applied. */
    offset: z.number(),
    /** Milliseconds since the router's newest report. */
    ageMs: z.number(),
    /** Requests that wait in the router. */
    waiting: z.number(),
    /** Requests of the router that run on targets. */
    running: z.number()
  })),
  targets: z.array(z.object({
    target: z.string(),
    service: z.string(),
    zone: z.string(),
    /** Maximum number of requests that run on the target at once. */
    slots: z.number(),
    /** Requests of all live routers that run on the target. */
    running: z.number(),
    /** `drained` only when every live router has stopped sending to the target and none has a request running on it. */
    state: z.enum(['in-service', 'draining', 'drained'])
  })),
  accounts: z.array(z.object({
    account: z.string(),
    weight: z.number(),
    /** Waiting requests of the account in all live routers. */
    waiting: z.number(),
    /** Running requests of the account in all live routers. */
    running: z.number()
  }))
})
export type FleetStatus = z.infer<typeof FleetStatus>
