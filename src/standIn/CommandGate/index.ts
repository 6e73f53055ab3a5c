/**
 * @name CommandGate
 * @category Stand-in
 * @summary Decides whether an engine takes a command, by its fencing token.
 *
 * @description
 * An engine that checks tokens refuses a token below the highest one that it has seen. One that ignores them takes all.
 *
 * @param isChecked - Whether tokens are checked.
 *
 * @example
 * const gate = new CommandGate(true)
 * gate.accept(5) // true
 * gate.accept(4) // false
 */
export class CommandGate {
  readonly #isChecked: boolean
  #highestToken = 0

  constructor (isChecked: boolean) {
    this.#isChecked = isChecked
  }

  get highestToken (): number {
    return this.#highestToken
  }

  accept (token: number): boolean {
    if (this.#isChecked && token < this.#highestToken) return false
    this.#highestToken = Math.max(this.#highestToken, token)
    return true
  }
}
