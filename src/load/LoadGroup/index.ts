import { z } from 'zod'

const Range = z.tuple([z.number().int().positive(), z.number().int().positive()])

const Call = z.strictObject({
  kind: z.enum(['completion', 'chat', 'booking', 'read']),
  service: z.string(),
  share: z.number().positive().default(1),
  isStreamed: z.boolean().default(false),
  /** Whether a booking is sent with an idempotency key. */
  hasKey: z.boolean().default(false),
  /** Range of the number of tokens to generate. */
  maxTokens: Range.default([16, 16]),
  /** Range of the prompt length in characters. */
  promptChars: Range.default([200, 200]),
  /** Number of different shared prefixes. A prompt that is too short for a prefix and its unique text has no prefix. */
  prefixes: z.number().int().positive().default(1)
})

const Account = z.strictObject({ name: z.string(), key: z.string(), share: z.number().positive().default(1) })

/**
 * @name LoadGroup
 * @category Load
 * @summary Settings of a group of callers with the same behaviour.
 *
 * @description
 * An `open` loop sends requests at a given rate, whether or not responses arrive. A `closed` loop keeps a given number
 * of requests in flight. The group ends after `durationMs` or `maxRequests`, whichever is first. The account and the
 * call of each request are drawn at random, weighted by `share`.
 *
 * @example
 * LoadGroup.parse({ loop: 'open', rate: 100, durationMs: 1000, accounts: [{ name: 'a', key: 'key-a' }], calls: [{ kind: 'read', service: 'booking' }] })
 */
export const LoadGroup = z.strictObject({
  name: z.string().default('default'),
  loop: z.enum(['open', 'closed']),
  /** Open loop: requests/s. */
  rate: z.number().positive().default(10),
  /** Open loop: random (Poisson) arrivals, or equal intervals between requests. */
  arrivals: z.enum(['poisson', 'uniform']).default('poisson'),
  /** Closed loop: requests in flight. */
  concurrency: z.number().int().positive().default(1),
  /** Closed loop: delay between a response and the next request. */
  thinkMs: z.number().nonnegative().default(0),
  /** Delay before the group starts. */
  startMs: z.number().nonnegative().default(0),
  durationMs: z.number().positive().default(3_600_000),
  maxRequests: z.number().int().positive().default(1_000_000),
  /** Maximum number of times that a booking with an idempotency key is resent while its outcome is not `complete`. */
  resends: z.number().int().nonnegative().default(0),
  accounts: z.array(Account).min(1),
  calls: z.array(Call).min(1)
})
export type LoadGroup = z.infer<typeof LoadGroup>
