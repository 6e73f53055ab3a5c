/**
 * @name StateMachine
 * @category Log
 * @summary What a log group applies its committed commands to.
 *
 * @description
 * `apply` must give the same result on every replica: it may use only the command, the offset and its own state.
 *
 * @example
 * const counter: StateMachine = { offset: 0, apply: command => command, getState: () => ({}), install: () => {} }
 */
export interface StateMachine {
  readonly offset: number
  apply: (command: unknown, offset: number) => unknown
  /** State as a value that CBOR can represent. */
  getState: () => unknown
  install: (state: unknown) => void
}
