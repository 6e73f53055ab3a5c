import { z } from 'zod'

/**
 * @name EngineSettings
 * @category Stand-in
 * @summary How the stand-in of an inference engine behaves.
 *
 * @description
 * `maxBatch`: requests that generate at once; others wait inside the engine. `tokenMs`: time between tokens.
 * `firstTokenMs`: time to the first token.
 *
 * @example
 * EngineSettings.parse({})
 */
export const EngineSettings = z.object({
  maxBatch: z.number().int().positive().default(8),
  tokenMs: z.number().nonnegative().default(5),
  firstTokenMs: z.number().nonnegative().default(10)
})
export type EngineSettings = z.infer<typeof EngineSettings>
