import { z } from 'zod'

/**
 * @name SettingsChange
 * @category Contract
 * @summary One atomic change to a subtree of the settings.
 *
 * @example
 * SettingsChange.parse({ changeId: 'c1', subtree: '/teams/sales', operations: [{ path: '/teams/sales/drains/r1', value: null }], operator: 'ann', atMs: 0 })
 */
export const SettingsChange = z.strictObject({
  /** Idempotency key: a resend with the same id returns the first result. */
  changeId: z.string().min(1).max(200),
  subtree: z.string().startsWith('/'),
  /** Revision of the subtree that the operator saw; without it the change is unconditional. */
  expectedRevision: z.number().int().nonnegative().optional(),
  /** Settings by path; a `null` value deletes the path. */
  operations: z.array(z.strictObject({ path: z.string().startsWith('/'), value: z.json() })).min(1).max(1000),
  /** Name of the operator who made the change. */
  operator: z.string(),
  /** Wall-clock time in milliseconds since the epoch; used for the history only. */
  atMs: z.number()
})
export type SettingsChange = z.infer<typeof SettingsChange>
