import { z } from 'zod'
import { LogMembers } from '../LogMembers'

/**
 * @name LogEntry
 * @category Contract
 * @summary One entry of a log group.
 *
 * @description
 * An entry with neither `command` nor `members` is the first one of a leader's term.
 *
 * @example
 * LogEntry.parse({ offset: 1, term: 1 })
 */
export const LogEntry = z.object({
  offset: z.number().int().positive(),
  term: z.number().int().positive(),
  /** Command for the state machine, encoded as CBOR. */
  command: z.custom<Uint8Array>(value => value instanceof Uint8Array).optional(),
  /** Members of the group from this entry on; present in a membership change. */
  members: LogMembers.optional()
})
export type LogEntry = z.infer<typeof LogEntry>
