import { z } from 'zod'
import { LogGroup } from '../LogGroup'

/**
 * @name ConfirmReadRequest
 * @category Contract
 * @summary Message `confirmRead`: the leader replies with an offset that holds everything accepted before.
 *
 * @example
 * ConfirmReadRequest.parse({ group: 'settings' })
 */
export const ConfirmReadRequest = z.object({ group: LogGroup })
export type ConfirmReadRequest = z.infer<typeof ConfirmReadRequest>
