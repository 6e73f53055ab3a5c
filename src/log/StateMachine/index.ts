/**
 * @name StateMachine
 * @category Log
 * @summary State machine to which a log group applies its committed commands.
 *
 * @example
 * const counter: StateMachine = { offset: 0, apply: command => command, getState: () => ({}), install: () => {} }
 */
export interface StateMachine {
  readonly offset: number
  /**
   * Must be deterministic, to give the same result on every replica: it may use only the command, the offset and its own
   * state.
   */
  apply: (command: unknown, offset: number) => unknown
  /**
   * Called once after each batch of commands and after `install`. Work for observers of the state belongs here: a restart
   * applies all commands since the newest snapshot at once, of which most are outdated.
   */
  notifyObservers?: () => void
  /** State as a value that CBOR can represent. */
  getState: () => unknown
  /** Replaces the state with that of a snapshot. */
  install: (state: unknown) => void
}
