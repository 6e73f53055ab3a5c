import { z } from 'zod'
import { Route } from '../Route'

/**
 * @name RouteDocument
 * @category Contract
 * @summary All routes, the services that they lead to, limits for callers and the keys of client accounts.
 *
 * @description
 * Operators replace the document as a whole; the highest `version` is in force.
 *
 * @example
 * RouteDocument.parse({ version: 1, routes: [], services: [], accounts: [] })
 */
export const RouteDocument = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(Route),
  services: z.array(z.object({
    name: z.string(),
    /** Maximum number of connections that a target accepts from all routers together. */
    maxConnections: z.number().positive().default(100),
    /** Present for services that run models. */
    engine: z.object({
      slots: z.number().positive(),
      /** Memory of an engine in tokens, shared by running requests and cached prompt parts. */
      memoryTokens: z.number().positive()
    }).optional()
  })),
  limits: z.object({
    /** Largest size of a request's headers. */
    maxHeaderBytes: z.number().positive().default(16_384),
    /** Largest size of a request's body. */
    maxBodyBytes: z.number().positive().default(4_194_304),
    /** Milliseconds within which the headers of a request must be complete. */
    headerTimeoutMs: z.number().positive().default(3_000),
    /** Milliseconds after which an idle connection of a caller is closed. */
    idleTimeoutMs: z.number().positive().default(15_000),
    /** Tokens per second that all engines together produce. Each token read counts once, each generated token twice. */
    tokensPerS: z.number().positive().optional()
  }).default({ maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }),
  /** Client accounts with their API keys. */
  accounts: z.array(z.object({ name: z.string(), keys: z.array(z.string()) }))
})
export type RouteDocument = z.infer<typeof RouteDocument>
