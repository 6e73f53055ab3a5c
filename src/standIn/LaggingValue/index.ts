/**
 * @name LaggingValue
 * @category Stand-in
 * @summary A value whose changes become visible to readers after a delay.
 *
 * @param initial - Value before the first change.
 *
 * @example
 * const value = new LaggingValue(0)
 * value.set(1, 1000)
 * value.get(1050, 100) // 0: the value at 950 ms
 */
export class LaggingValue<T> {
  #visible: T
  readonly #changes: Array<{ value: T, atMs: number }> = []

  constructor (initial: T) {
    this.#visible = initial
  }

  set (value: T, atMs: number): void {
    this.#changes.push({ value, atMs })
  }

  get (nowMs: number, lagMs: number): T {
    while (this.#changes.length > 0 && this.#changes[0].atMs <= nowMs - lagMs) this.#visible = this.#changes.shift()!.value
    return this.#visible
  }
}
