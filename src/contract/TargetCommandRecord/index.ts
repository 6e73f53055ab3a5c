import { z } from 'zod'
import { Name } from '../Name'
import { TargetAction } from '../TargetAction'
import { WeightStore } from '../WeightStore'

/**
 * @name TargetCommandRecord
 * @category Contract
 * @summary Records of the `commands` log group.
 *
 * @description
 * `atMs` is wall-clock time in milliseconds since the epoch.
 *
 * @example
 * TargetCommandRecord.parse({ type: 'finish', id: 'c1', result: 'done', atMs: 0 })
 */
export const TargetCommandRecord = z.discriminatedUnion('type', [
  /** Logged before a command is sent. `sender` is the incarnation of the control process. */
  z.object({ type: z.literal('intend'), id: z.string().min(1), target: Name, action: TargetAction, sender: z.string(), atMs: z.number(), limits: WeightStore.optional() }),
  /**
   * Asks whether an intent is still the newest one of its target. Logged after the sender has waited for the lease and
   * time-out of an earlier sender to pass.
   */
  z.object({ type: z.literal('confirm'), id: z.string().min(1) }),
  /** Logged after the response of the target. */
  z.object({ type: z.literal('finish'), id: z.string().min(1), result: z.enum(['done', 'failed', 'unknown']), atMs: z.number() })
])
export type TargetCommandRecord = z.infer<typeof TargetCommandRecord>
