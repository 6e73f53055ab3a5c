/**
 * @name FaultRule
 * @category Stand-in
 * @summary What a fault proxy does with the bytes of one direction.
 *
 * @description
 * `pass` forwards them. `hold` keeps them, and forwards them when the rule changes (a short partition that TCP
 * survives by retransmission). `drop` discards them; a connection that lost bytes is reset when the rule changes,
 * because its stream has a hole. `delayMs` is added to each chunk that passes; the order is kept.
 *
 * @example
 * const oneWayCut: FaultRule = { mode: 'drop' }
 */
export interface FaultRule {
  mode: 'pass' | 'hold' | 'drop'
  delayMs?: number
}
