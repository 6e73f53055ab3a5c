import { z } from 'zod'

/**
 * @name SettingsDocument
 * @category Contract
 * @summary File that `papayalead apply` reads: settings by path; `null` deletes a setting.
 *
 * @example
 * SettingsDocument.parse({ '/teams/sales/services/llama': { kind: 'completion' } })
 */
export const SettingsDocument = z.record(z.string().regex(/^\/(fleet|teams\/[^/]+)\/.+/, 'expected a path under /fleet or /teams/<team>'), z.json())
export type SettingsDocument = z.infer<typeof SettingsDocument>
