import { z } from 'zod'

/**
 * @name EngineSettings
 * @category Stand-in
 * @summary How the stand-in of an inference engine behaves.
 *
 * @description
 * Times are in milliseconds, rates are probabilities from 0 to 1, drawn from a generator that starts at `seed`.
 * - `maxBatch`: requests that generate at once; others wait inside the engine. `tokenMs`: time between tokens.
 *   `slowdownPerRequest`: part of `tokenMs` that each further request in the batch adds.
 * - `firstTokenMs`, `prefillTokenMs`: time to the first token, and what each prompt token that is not cached adds.
 * - `prefixCacheSize`: prompt prefixes in the cache. `prefixChars`: length of a cached prefix in characters.
 * - `loadLagMs`, `cacheEventLagMs`: age of what `/load` and `/cache-events` answer. `cacheEventGapRate`: events left out.
 * - `truncateRate`: streams that end before `[DONE]`. `truncateBy`: with a reset connection, or with a regular end.
 * - `isFencingChecked`: refuse commands with an old fencing token. `commandMs`: time that a command takes.
 * - `models`: model names that are loaded; empty accepts any. `health`: what `/health` reports.
 *
 * @example
 * EngineSettings.parse({ maxBatch: 4 })
 */
export const EngineSettings = z.strictObject({
  seed: z.number().int().default(1),
  maxBatch: z.number().int().positive().default(8),
  tokenMs: z.number().nonnegative().default(5),
  slowdownPerRequest: z.number().nonnegative().default(0),
  firstTokenMs: z.number().nonnegative().default(10),
  prefillTokenMs: z.number().nonnegative().default(0),
  prefixCacheSize: z.number().int().nonnegative().default(256),
  prefixChars: z.number().int().positive().default(256),
  loadLagMs: z.number().nonnegative().default(200),
  cacheEventLagMs: z.number().nonnegative().default(200),
  cacheEventGapRate: z.number().min(0).max(1).default(0),
  truncateRate: z.number().min(0).max(1).default(0),
  truncateBy: z.enum(['reset', 'end']).default('reset'),
  isFencingChecked: z.boolean().default(true),
  commandMs: z.number().nonnegative().default(20),
  models: z.array(z.string()).default([]),
  health: z.enum(['ok', 'draining']).default('ok')
})
export type EngineSettings = z.infer<typeof EngineSettings>
