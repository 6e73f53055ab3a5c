import { z } from 'zod'
import { LoadGroup } from '../LoadGroup'

/**
 * @name LoadSettings
 * @category Load
 * @summary What the load generator sends, and where.
 *
 * @description
 * `urls`: routers, drawn at random for each request. `timeoutMs`: longest wait for a whole answer. `verifiesTokens`:
 * check the tokens of completions against the engine stand-in's rule. `listsBookings`: list each booking with its
 * outcome in the report, to compare with the record of the booking stand-in. `isDirect`: the URLs are targets, so that
 * paths of services are sent without their beginning.
 *
 * @example
 * LoadSettings.parse({ urls: ['http://127.0.0.1:8080'], seed: 1, groups: [group] })
 */
export const LoadSettings = z.strictObject({
  urls: z.array(z.url()).min(1),
  seed: z.number().int().default(1),
  timeoutMs: z.number().positive().default(120_000),
  verifiesTokens: z.boolean().default(true),
  listsBookings: z.boolean().default(false),
  isDirect: z.boolean().default(false),
  groups: z.array(LoadGroup).min(1)
})
export type LoadSettings = z.infer<typeof LoadSettings>
