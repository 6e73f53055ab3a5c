import { z } from 'zod'

const Range = z.tuple([z.number().int().positive(), z.number().int().positive()])

const Call = z.strictObject({
  kind: z.enum(['completion', 'chat', 'booking', 'read']),
  service: z.string(),
  share: z.number().positive().default(1),
  isStreamed: z.boolean().default(false),
  hasKey: z.boolean().default(false),
  maxTokens: Range.default([16, 16]),
  promptChars: Range.default([200, 200]),
  prefixes: z.number().int().positive().default(1)
})

const Account = z.strictObject({ name: z.string(), key: z.string(), share: z.number().positive().default(1) })

/**
 * @name LoadGroup
 * @category Load
 * @summary Callers that behave alike.
 *
 * @description
 * An `open` loop sends `rate` requests/s at random (Poisson) or uniform times, whether or not answers arrive. A
 * `closed` loop keeps `concurrency` requests in flight, with `thinkMs` between an answer and the next request. The
 * group starts after `startMs` and ends after `durationMs` or `maxRequests`, whichever is first. Accounts and calls are
 * drawn by `share`. For calls: `maxTokens` and `promptChars` are ranges; prompts share one of `prefixes` beginnings;
 * `hasKey` sends a booking with an idempotency key, and `resends` is how often such a booking is sent again when its
 * outcome is not `complete`.
 *
 * @example
 * LoadGroup.parse({ loop: 'open', rate: 100, durationMs: 1000, accounts: [{ name: 'a', key: 'key-a' }], calls: [{ kind: 'read', service: 'booking' }] })
 */
export const LoadGroup = z.strictObject({
  name: z.string().default('default'),
  loop: z.enum(['open', 'closed']),
  rate: z.number().positive().default(10),
  arrivals: z.enum(['poisson', 'uniform']).default('poisson'),
  concurrency: z.number().int().positive().default(1),
  thinkMs: z.number().nonnegative().default(0),
  startMs: z.number().nonnegative().default(0),
  durationMs: z.number().positive().default(3_600_000),
  maxRequests: z.number().int().positive().default(1_000_000),
  resends: z.number().int().nonnegative().default(0),
  accounts: z.array(Account).min(1),
  calls: z.array(Call).min(1)
})
export type LoadGroup = z.infer<typeof LoadGroup>
