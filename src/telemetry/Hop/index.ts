/**
 * @name Hop
 * @category Telemetry
 * @summary Stages of a request that are traced as separate spans.
 *
 * @description
 * `queue`: while the request waits for a target. `claim`: commit of the idempotency record. `dispatch`: from the start of
 * an attempt, including the connection set-up, until the target responds. `stream`: from there until the end of the
 * response.
 *
 * @example
 * const hop: Hop = 'queue'
 */
export type Hop = 'queue' | 'claim' | 'dispatch' | 'stream'
