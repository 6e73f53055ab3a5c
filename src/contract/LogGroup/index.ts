import { z } from 'zod'

/**
 * @name LogGroup
 * @category Contract
 * @summary The groups of the replicated log.
 *
 * @example
 * LogGroup.parse('settings')
 */
export const LogGroup = z.enum([
  /** Changes of the settings tree. */
  'settings',
  /** Records of requests with an idempotency key. */
  'idempotency',
  /** Intents and results of commands to targets. */
  'commands',
  /** Versions of the route document. */
  'documents'
])
export type LogGroup = z.infer<typeof LogGroup>
