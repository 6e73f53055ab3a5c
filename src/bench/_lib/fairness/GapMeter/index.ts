/** Range of the difference between the service of two accounts while both are backlogged. */
interface DifferenceRange {
  lowest: number
  highest: number
}

const BUCKET_MS = 1_000

/**
 * Measures the service gap of each pair of accounts: how much the difference of their service varies while both are
 * continuously backlogged.
 */
export class GapMeter {
  readonly #backlogged = new Set<string>()
  readonly #pairs = new Map<string, DifferenceRange>()
  readonly #gapBySecond: number[] = []
  readonly #getService: (account: string) => number
  #largestGap = 0
  #worstPair = ''

  constructor (getService: (account: string) => number) {
    this.#getService = getService
  }

  get largestGap (): number {
    return this.#largestGap
  }

  /** Names of the two accounts with the largest gap, separated by a slash. */
  get worstPair (): string {
    return this.#worstPair
  }

  /** Lists the largest gap in each of a number of equal parts of the run. */
  listLargestGaps (untilMs: number, parts: number): number[] {
    const largest = new Array<number>(parts).fill(0)
    this.#gapBySecond.forEach((gap, second) => {
      const part = Math.min(parts - 1, Math.floor(second * BUCKET_MS / untilMs * parts))
      largest[part] = Math.max(largest[part], gap)
    })
    return largest
  }

  reset (nowMs: number): void {
    this.#pairs.clear()
    this.#gapBySecond.length = 0
    this.#largestGap = 0
    for (const account of this.#backlogged) this.update(nowMs, account)
  }

  setBacklogged (nowMs: number, account: string, isBacklogged: boolean): void {
    if (isBacklogged === this.#backlogged.has(account)) return
    this.update(nowMs, account)
    if (isBacklogged) {
      this.#backlogged.add(account)
      return this.update(nowMs, account)
    }
    this.#backlogged.delete(account)
    for (const other of this.#backlogged) this.#pairs.delete(createPairKey(account, other))
  }

  /** Records the service of an account. Must be called whenever the rate of its service changes or its value jumps. */
  update (nowMs: number, account: string): void {
    if (!this.#backlogged.has(account)) return
    const service = this.#getService(account)
    for (const other of this.#backlogged) {
      if (other === account) continue
      const difference = service - this.#getService(other)
      this.#observePair(nowMs, createPairKey(account, other), account < other ? difference : -difference)
    }
  }

  #observePair (nowMs: number, key: string, difference: number): void {
    const pair = this.#pairs.get(key)
    if (!pair) {
      this.#pairs.set(key, { lowest: difference, highest: difference })
      return
    }
    pair.lowest = Math.min(pair.lowest, difference)
    pair.highest = Math.max(pair.highest, difference)
    const gap = pair.highest - pair.lowest
    const second = Math.floor(nowMs / BUCKET_MS)
    this.#gapBySecond[second] = Math.max(this.#gapBySecond[second] ?? 0, gap)
    if (gap <= this.#largestGap) return
    this.#largestGap = gap
    this.#worstPair = key
  }
}

function createPairKey (a: string, b: string): string {
  return a < b ? `${a}/${b}` : `${b}/${a}`
}
