import { z } from 'zod'

const Rate = z.number().min(0).max(1).default(0)

/**
 * @name BookingSettings
 * @category Stand-in
 * @summary Settings of the booking service stand-in.
 *
 * @description
 * Each `POST /bookings` draws at most one fault, with or without an idempotency key. The rates are the probabilities
 * of the faults.
 *
 * @example
 * BookingSettings.parse({ seed: 7, resetAfterRate: 0.1 })
 */
export const BookingSettings = z.strictObject({
  /** Seed of the generator from which faults are drawn. */
  seed: z.number().int().default(1),
  /** Processing time of each call. */
  runMs: z.number().nonnegative().default(0),
  /** Delay of a late response. */
  lateMs: z.number().nonnegative().default(1_000),
  /** The booking runs; the response is delayed by `lateMs`. */
  lateRate: Rate,
  /** The booking runs; no response is sent. */
  neverRate: Rate,
  /** The connection is reset before the booking runs. */
  resetBeforeRate: Rate,
  /** The connection is reset after the booking has run. */
  resetAfterRate: Rate,
  /** The booking runs; the connection is closed in the middle of the response. */
  truncateRate: Rate,
  /** Status that `/health` reports. */
  health: z.enum(['ok', 'draining']).default('ok')
})
export type BookingSettings = z.infer<typeof BookingSettings>
