import { z } from 'zod'

/**
 * @name LogGroup
 * @category Contract
 * @summary The groups of the replicated log.
 *
 * @example
 * LogGroup.parse('settings')
 */
export const LogGroup = z.enum(['settings', 'idempotency'])
export type LogGroup = z.infer<typeof LogGroup>
