import { z } from 'zod'
import { LogGroup } from '../LogGroup'

/**
 * @name ProposeRequest
 * @category Contract
 * @summary Message `propose`: appends a command to a log group. The reply is the result of applying the command.
 *
 * @example
 * ProposeRequest.parse({ group: 'settings', command: {} })
 */
export const ProposeRequest = z.object({ group: LogGroup, command: z.unknown() })
export type ProposeRequest = z.infer<typeof ProposeRequest>
