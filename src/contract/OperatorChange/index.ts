import { z } from 'zod'

const MAX_OPERATIONS = 1_000

/**
 * @name OperatorChange
 * @category Contract
 * @summary Body of `POST /v1/changes`.
 *
 * @description
 * Control adds who made the change and when. `subtree` follows from the first path if it is left out. Without a
 * `changeId` a resend is a new change.
 *
 * @example
 * OperatorChange.parse({ changeId: 'c1', operations: [{ path: '/teams/sales/drains/r1', value: null }] })
 */
export const OperatorChange = z.object({
  changeId: z.string().min(1).max(120).optional(),
  subtree: z.string().startsWith('/').optional(),
  expectedRevision: z.number().int().nonnegative().optional(),
  operations: z.array(z.strictObject({ path: z.string().startsWith('/'), value: z.json() })).min(1).max(MAX_OPERATIONS)
})
export type OperatorChange = z.infer<typeof OperatorChange>
