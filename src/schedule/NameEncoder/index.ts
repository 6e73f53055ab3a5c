type Definition = [0, number, string]

/**
 * @name NameEncoder
 * @category Schedule
 * @summary Encodes names as numbers on one connection, so that frequent messages carry numbers only.
 *
 * @description
 * A name gets a number when it is first used. Its definition must be sent before or with the first message that uses it.
 *
 * @example
 * const names = new NameEncoder()
 * names.getNumber('quotes') // 1
 * names.takeDefinitions() // [[0, 1, 'quotes']]
 */
export class NameEncoder {
  readonly #numbers = new Map<string, number>()
  #definitions: Definition[] = []

  getNumber (name: string): number {
    const known = this.#numbers.get(name)
    if (known !== undefined) return known
    const number = this.#numbers.size + 1
    this.#numbers.set(name, number)
    this.#definitions.push([0, number, name])
    return number
  }

  /** Removes and returns the definitions that were not sent yet. */
  takeDefinitions (): Definition[] {
    const definitions = this.#definitions
    this.#definitions = []
    return definitions
  }
}
