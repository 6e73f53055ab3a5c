import { z } from 'zod'

const MAX_OPERATIONS = 1_000

/**
 * @name OperatorChange
 * @category Contract
 * @summary Body of `POST /v1/changes`: a settings change as an operator sends it.
 *
 * @description
 * The control process adds the operator's name and the time of the change.
 *
 * @example
 * OperatorChange.parse({ changeId: 'c1', operations: [{ path: '/teams/sales/drains/r1', value: null }] })
 */
export const OperatorChange = z.object({
  /** Makes a resend return the first result. Without it a resend is a new change. */
  changeId: z.string().min(1).max(120).optional(),
  /** Subtree that the change belongs to; if absent, it is derived from the first path. */
  subtree: z.string().startsWith('/').optional(),
  /** Revision of the subtree that the operator saw; without it the change is unconditional. */
  expectedRevision: z.number().int().nonnegative().optional(),
  /** Settings by path; a `null` value deletes the path. */
  operations: z.array(z.strictObject({ path: z.string().startsWith('/'), value: z.json() })).min(1).max(MAX_OPERATIONS)
})
export type OperatorChange = z.infer<typeof OperatorChange>
