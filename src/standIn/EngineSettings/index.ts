import { z } from 'zod'

/**
 * @name EngineSettings
 * @category Stand-in
 * @summary Settings of the inference engine stand-in.
 *
 * @description
 * Times are in milliseconds. Rates are probabilities from 0 to 1.
 *
 * @example
 * EngineSettings.parse({ maxBatch: 4 })
 */
export const EngineSettings = z.strictObject({
  /** Seed of the generator from which faults are drawn. */
  seed: z.number().int().default(1),
  /** Requests that generate tokens at once; others wait inside the engine. */
  maxBatch: z.number().int().positive().default(8),
  /** Time between tokens. */
  tokenMs: z.number().nonnegative().default(5),
  /** Fraction of `tokenMs` that each further request in the batch adds. */
  slowdownPerRequest: z.number().nonnegative().default(0),
  /** Time to the first token, apart from the prefill of the prompt. */
  firstTokenMs: z.number().nonnegative().default(10),
  /** Prefill time of each prompt token that is not cached. */
  prefillTokenMs: z.number().nonnegative().default(0),
  /** Number of prompt prefixes in the cache. */
  prefixCacheSize: z.number().int().nonnegative().default(256),
  /** Length of a cached prefix in characters. */
  prefixChars: z.number().int().positive().default(256),
  /** Age of the load that `/load` reports. */
  loadLagMs: z.number().nonnegative().default(200),
  /** Delay after which `/cache-events` lists an event. */
  cacheEventLagMs: z.number().nonnegative().default(200),
  /** Probability that a cache event is omitted. */
  cacheEventGapRate: z.number().min(0).max(1).default(0),
  /** Probability that a stream ends before `[DONE]`. */
  truncateRate: z.number().min(0).max(1).default(0),
  /** How a truncated stream ends: by a reset of the connection, or by a regular end of the response. */
  truncateBy: z.enum(['reset', 'end']).default('reset'),
  /** Hashes of the prompt prefixes on which the engine crashes when it begins to answer them. */
  crashPrefixes: z.array(z.number().int().nonnegative()).default([]),
  /** Time for which a crashed engine refuses connections. */
  crashMs: z.number().nonnegative().default(3_000),
  /** Whether commands with an old fencing token are refused. */
  isFencingChecked: z.boolean().default(true),
  /** Duration of a command. */
  commandMs: z.number().nonnegative().default(20),
  /** Names of the loaded models; if empty, requests for any model are accepted. */
  models: z.array(z.string()).default([]),
  /** Status that `/health` reports. */
  health: z.enum(['ok', 'draining']).default('ok')
})
export type EngineSettings = z.infer<typeof EngineSettings>
