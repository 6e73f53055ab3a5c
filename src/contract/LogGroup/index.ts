import { z } from 'zod'

/**
 * @name LogGroup
 * @category Contract
 * @summary The groups of the replicated log.
 *
 * @description
 * `settings`: changes of the settings tree. `idempotency`: records of keyed calls. `commands`: intents and results of
 * commands to targets. `documents`: versions of the route document.
 *
 * @example
 * LogGroup.parse('settings')
 */
export const LogGroup = z.enum(['settings', 'idempotency', 'commands', 'documents'])
export type LogGroup = z.infer<typeof LogGroup>
