import { z } from 'zod'

/**
 * @name SettingsChange
 * @category Contract
 * @summary One atomic change to a subtree of the settings.
 *
 * @description
 * `changeId` makes a resend return the first result. `expectedRevision` is the revision of the subtree that the
 * operator saw; without it the change is unconditional. A `null` value deletes the path. `atMs` is wall-clock time in
 * milliseconds since the epoch, for the history only.
 *
 * @example
 * SettingsChange.parse({ changeId: 'c1', subtree: '/teams/sales', operations: [{ path: '/teams/sales/drains/r1', value: null }], operator: 'ann', atMs: 0 })
 */
export const SettingsChange = z.strictObject({
  changeId: z.string().min(1).max(200),
  subtree: z.string().startsWith('/'),
  expectedRevision: z.number().int().nonnegative().optional(),
  operations: z.array(z.strictObject({ path: z.string().startsWith('/'), value: z.json() })).min(1).max(1000),
  operator: z.string(),
  atMs: z.number()
})
export type SettingsChange = z.infer<typeof SettingsChange>
