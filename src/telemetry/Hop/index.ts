/**
 * @name Hop
 * @category Telemetry
 * @summary The steps of a request that have a span of their own.
 *
 * @description
 * `queue`: from arrival until a slot is granted. `claim`: commit of the idempotency record. `dispatch`: from the first
 * byte sent to the target until the head of its response. `stream`: until the end of the response.
 *
 * @example
 * const hop: Hop = 'queue'
 */
export type Hop = 'queue' | 'claim' | 'dispatch' | 'stream'
