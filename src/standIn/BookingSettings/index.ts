import { z } from 'zod'

const Rate = z.number().min(0).max(1).default(0)

/**
 * @name BookingSettings
 * @category Stand-in
 * @summary How the stand-in of a booking service behaves.
 *
 * @description
 * Each call that is not idempotent draws one fault by the rates, from a generator that starts at `seed`. `lateRate`:
 * run, then answer after `lateMs`. `neverRate`: run, never answer. `resetBeforeRate` and `resetAfterRate`: reset the
 * connection without running, or after running. `truncateRate`: run, then end the connection in the middle of the
 * answer. `runMs`: time that any call takes. `health`: what `/health` reports.
 *
 * @example
 * BookingSettings.parse({ seed: 7, resetAfterRate: 0.1 })
 */
export const BookingSettings = z.strictObject({
  seed: z.number().int().default(1),
  runMs: z.number().nonnegative().default(0),
  lateMs: z.number().nonnegative().default(1_000),
  lateRate: Rate,
  neverRate: Rate,
  resetBeforeRate: Rate,
  resetAfterRate: Rate,
  truncateRate: Rate,
  health: z.enum(['ok', 'draining']).default('ok')
})
export type BookingSettings = z.infer<typeof BookingSettings>
