/**
 * @name Hop
 * @category Telemetry
 * @summary Stages of a request that are traced as separate spans.
 *
 * @description
 * `queue`: from arrival until a slot is granted. `claim`: commit of the idempotency record. `dispatch`: from the first
 * byte sent to the target until its response headers. `stream`: from there until the end of the response.
 *
 * @example
 * const hop: Hop = 'queue'
 */
export type Hop = 'queue' | 'claim' | 'dispatch' | 'stream'
