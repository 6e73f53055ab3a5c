/**
 * @name FencingTokenVerifier
 * @category Stand-in
 * @summary Accepts or refuses commands to an engine by their fencing token.
 *
 * @description
 * When enabled, refuses each token below the highest one accepted so far. When disabled, accepts every token, like an
 * engine that ignores fencing.
 *
 * @param isEnabled - Whether tokens are checked.
 *
 * @example
 * const verifier = new FencingTokenVerifier(true)
 * verifier.accept(5) // true
 * verifier.accept(4) // false
 */
export class FencingTokenVerifier {
  readonly #isEnabled: boolean
  #highestToken = 0

  constructor (isEnabled: boolean) {
    this.#isEnabled = isEnabled
  }

  get highestToken (): number {
    return this.#highestToken
  }

  accept (token: number): boolean {
    if (this.#isEnabled && token < this.#highestToken) return false
    this.#highestToken = Math.max(this.#highestToken, token)
    return true
  }
}
