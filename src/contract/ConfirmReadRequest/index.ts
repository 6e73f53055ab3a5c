import { z } from 'zod'
import { LogGroup } from '../LogGroup'

/**
 * @name ConfirmReadRequest
 * @category Contract
 * @summary Message `confirmRead`: asks the leader of a log group for an offset that covers every accepted entry.
 *
 * @description
 * The reply is a log offset. A read at that offset or later sees everything that was accepted before the request.
 *
 * @example
 * ConfirmReadRequest.parse({ group: 'settings' })
 */
export const ConfirmReadRequest = z.object({ group: LogGroup })
export type ConfirmReadRequest = z.infer<typeof ConfirmReadRequest>
