import { z } from 'zod'

/**
 * @name LogGroup
 * @category Contract
 * @summary The groups of the replicated log.
 *
 * @description
 * `settings`: changes of the settings tree. `idempotency`: records of keyed calls. `commands`: intents and results of
 * commands to targets.
 *
 * @example
 * LogGroup.parse('settings')
 */
export const LogGroup = z.enum(['settings', 'idempotency', 'commands'])
export type LogGroup = z.infer<typeof LogGroup>
