import { z } from 'zod'
import { Route } from '../Route'

/**
 * @name RouteDocument
 * @category Contract
 * @summary All routes, the services that they lead to, limits for callers and the keys of client accounts.
 *
 * @description
 * Operators replace the document as a whole; the highest `version` is in force. `maxConnections`: connections that a
 * target accepts from all routers together. `engine`: present for services that run models; `memoryTokens` is the
 * memory that running requests and kept prompt parts share. `tokensPerS`: what all engines together produce, each
 * token read counted once and each generated token twice.
 *
 * @example
 * RouteDocument.parse({ version: 1, routes: [], services: [], accounts: [] })
 */
export const RouteDocument = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(Route),
  services: z.array(z.object({
    name: z.string(),
    maxConnections: z.number().positive().default(100),
    engine: z.object({ slots: z.number().positive(), memoryTokens: z.number().positive() }).optional()
  })),
  limits: z.object({
    maxHeaderBytes: z.number().positive().default(16_384),
    maxBodyBytes: z.number().positive().default(4_194_304),
    headerTimeoutMs: z.number().positive().default(3_000),
    idleTimeoutMs: z.number().positive().default(15_000),
    tokensPerS: z.number().positive().optional()
  }).default({ maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }),
  accounts: z.array(z.object({ name: z.string(), keys: z.array(z.string()) }))
})
export type RouteDocument = z.infer<typeof RouteDocument>
