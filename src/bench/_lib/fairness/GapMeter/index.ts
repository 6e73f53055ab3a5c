interface PairState {
  lowest: number
  highest: number
}

const BUCKET_MS = 1_000

/**
 * Gap between accounts that are backlogged together: the change of the difference of their service while both are
 * backlogged without a break.
 */
export class GapMeter {
  readonly #backlogged = new Set<string>()
  readonly #pairs = new Map<string, PairState>()
  readonly #gapBySecond: number[] = []
  readonly #getServed: (account: string) => number
  #largest = 0
  #worst = ''

  constructor (getServed: (account: string) => number) {
    this.#getServed = getServed
  }

  get largest (): number {
    return this.#largest
  }

  /** The two accounts that had the largest gap. */
  get worst (): string {
    return this.#worst
  }

  /** Largest gap in each of a number of equal parts of the run. */
  list (untilMs: number, parts: number): number[] {
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
    this.#largest = 0
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

  /** Takes note of the service of an account; called whenever its rate changes or it jumps. */
  update (nowMs: number, account: string): void {
    if (!this.#backlogged.has(account)) return
    const served = this.#getServed(account)
    for (const other of this.#backlogged) {
      if (other === account) continue
      const difference = served - this.#getServed(other)
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
    if (gap <= this.#largest) return
    this.#largest = gap
    this.#worst = key
  }
}

function createPairKey (a: string, b: string): string {
  return a < b ? `${a}/${b}` : `${b}/${a}`
}
