/**
 * @name FaultRule
 * @category Stand-in
 * @summary Specifies how a fault proxy treats the bytes of one direction.
 *
 * @description
 * - `pass` forwards them.
 * - `hold` buffers them until the rule changes, like a short partition that TCP survives by retransmission.
 * - `drop` discards them. A connection that lost bytes is reset when the rule changes, because its stream has a gap.
 *
 * @example
 * const oneWayPartition: FaultRule = { mode: 'drop' }
 */
export interface FaultRule {
  mode: 'pass' | 'hold' | 'drop'
  /** Delay of each chunk that passes; the order of chunks is kept. */
  delayMs?: number
}
