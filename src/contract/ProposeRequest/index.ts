import { z } from 'zod'
import { LogGroup } from '../LogGroup'

/**
 * @name ProposeRequest
 * @category Contract
 * @summary Message `propose`: append a command to a log group and answer with the result of applying it.
 *
 * @example
 * ProposeRequest.parse({ group: 'settings', command: {} })
 */
export const ProposeRequest = z.object({ group: LogGroup, command: z.unknown() })
export type ProposeRequest = z.infer<typeof ProposeRequest>
