import { z } from 'zod'
import { LoadGroup } from '../LoadGroup'

/**
 * @name LoadSettings
 * @category Load
 * @summary Settings of a load generator run.
 *
 * @example
 * LoadSettings.parse({ urls: ['http://127.0.0.1:8080'], seed: 1, groups: [group] })
 */
export const LoadSettings = z.strictObject({
  /** URLs of routers; one is drawn at random for each request. */
  urls: z.array(z.url()).min(1),
  seed: z.number().int().default(1),
  /** Time-out for a complete response. */
  timeoutMs: z.number().positive().default(120_000),
  /** Whether the tokens of completions are compared with those that the engine stand-in generates for the prompt. */
  verifiesTokens: z.boolean().default(true),
  /** Whether the report lists each booking with its outcome, for comparison with the record of the booking stand-in. */
  listsBookings: z.boolean().default(false),
  /** Whether the URLs are those of targets. Paths are then sent without the `/services/<service>` prefix. */
  isDirect: z.boolean().default(false),
  groups: z.array(LoadGroup).min(1)
})
export type LoadSettings = z.infer<typeof LoadSettings>
