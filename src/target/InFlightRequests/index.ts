/**
 * @name InFlightRequests
 * @category Target
 * @summary Counts the requests that this router has in flight on each target.
 *
 * @description
 * A target is drained only when the count is zero on every router. The count includes requests whose response is still
 * being relayed.
 *
 * @example
 * running.add('runner-1')
 * running.count('runner-1') // 1
 * running.remove('runner-1')
 */
export class InFlightRequests {
  readonly #counts = new Map<string, number>()

  add (target: string): void {
    this.#counts.set(target, this.count(target) + 1)
  }

  remove (target: string): void {
    const count = this.count(target) - 1
    if (count > 0) this.#counts.set(target, count)
    else this.#counts.delete(target)
  }

  count (target: string): number {
    return this.#counts.get(target) ?? 0
  }

  listTargets (): string[] {
    return [...this.#counts.keys()]
  }
}
