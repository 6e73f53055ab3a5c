import { z } from 'zod'
import { LogMembers } from '../LogMembers'

/**
 * @name LogEntry
 * @category Contract
 * @summary One entry of a log group.
 *
 * @description
 * `command`: CBOR bytes for the state machine. `members`: a membership change. An entry with neither is the first one
 * of a leader's term.
 *
 * @example
 * LogEntry.parse({ offset: 1, term: 1 })
 */
export const LogEntry = z.object({
  offset: z.number().int().positive(),
  term: z.number().int().positive(),
  command: z.custom<Uint8Array>(value => value instanceof Uint8Array).optional(),
  members: LogMembers.optional()
})
export type LogEntry = z.infer<typeof LogEntry>
