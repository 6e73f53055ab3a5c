import { AppError } from '../../contract/AppError'

/**
 * @name NameDecoder
 * @category Schedule
 * @summary Decodes the numbers that a peer defined for names on one connection.
 *
 * @example
 * const names = new NameDecoder()
 * names.set(1, 'quotes')
 * names.get(1) // 'quotes'
 */
export class NameDecoder {
  readonly #names = new Map<number, string>()

  set (number: number, name: string): void {
    this.#names.set(number, name)
  }

  /**
   * @throws AppError `frame-invalid` if no name is defined for the number.
   */
  get (number: number): string {
    const name = this.#names.get(number)
    if (name === undefined) throw new AppError('frame-invalid', `No name is defined for the number ${number} on this connection.`)
    return name
  }
}
