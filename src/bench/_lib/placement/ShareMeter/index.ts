interface Second {
  /** Tokens of the requests that arrived. */
  asked: number
  /** Tokens of the requests that began to run. */
  got: number
  /** Sizes of the requests that arrived. */
  sizes: number[]
  /** Whether a request was refused, or waited past its objective. */
  isShort: boolean
}

interface ShareWindow {
  account: string
  fromS: number
  asked: number
  got: number
  /** Tokens of the best served account. */
  bestGot: number
  /** What the account got, divided by what it asked or the best served account got, whichever is less each second. */
  share: number
  /** Whether the account got less than half of that, less its three largest requests. */
  isBroken: boolean
}

const WINDOW_S = 6
const MIN_SHARE = 0.5
const ALLOWED_REQUESTS = 3

/**
 * Measures the share of its due that each client account gets, as the users' rule FAIR defines it: over windows of six
 * seconds, for accounts that have in each second a request that is refused or waits past its objective. Every attempt
 * counts as a request, also one that comes back after a refusal.
 */
export class ShareMeter {
  readonly #accounts = new Map<string, Second[]>()

  recordRequest (account: string, tokens: number, atMs: number): void {
    const second = this.#getSecond(account, atMs)
    second.asked += tokens
    second.sizes.push(tokens)
  }

  recordStart (account: string, tokens: number, atMs: number): void {
    this.#getSecond(account, atMs).got += tokens
  }

  recordRefusal (account: string, atMs: number): void {
    this.#getSecond(account, atMs).isShort = true
  }

  /** Records that a request waited past its objective during this period. */
  recordLateness (account: string, { fromMs, untilMs }: { fromMs: number, untilMs: number }): void {
    for (let ms = fromMs; ms < untilMs; ms = (Math.floor(ms / 1e3) + 1) * 1e3) this.#getSecond(account, ms).isShort = true
  }

  /** The window in which an account got the smallest share of its due; undefined if no account was short for so long. */
  findWorst (): ShareWindow | undefined {
    return this.listWindows().sort((a, b) => a.share - b.share).at(0)
  }

  /** Windows of the accounts that were short in each second of them. */
  listWindows (): ShareWindow[] {
    const windows: ShareWindow[] = []
    const seconds = Math.max(0, ...[...this.#accounts.values()].map(({ length }) => length))
    for (let fromS = 0; fromS + WINDOW_S <= seconds; fromS++) {
      const byAccount = [...this.#accounts].map(([account, all]) => ({ account, window: Array.from({ length: WINDOW_S }, (_, i) => all[fromS + i] ?? createSecond()) }))
      const best = byAccount.reduce((most, next) => computeSum(next.window, 'got') > computeSum(most.window, 'got') ? next : most).window
      for (const { account, window } of byAccount) {
        if (!window.every(({ isShort }) => isShort)) continue
        const due = window.reduce((total, { asked }, i) => total + Math.min(asked, best[i].got), 0)
        if (due === 0) continue
        const got = computeSum(window, 'got')
        const largest = window.flatMap(({ sizes }) => sizes).sort((a, b) => b - a).slice(0, ALLOWED_REQUESTS).reduce((total, size) => total + size, 0)
        windows.push({ account, fromS, asked: computeSum(window, 'asked'), got, bestGot: computeSum(best, 'got'), share: got / due, isBroken: got < MIN_SHARE * due - largest })
      }
    }
    return windows
  }

  #getSecond (account: string, atMs: number): Second {
    let seconds = this.#accounts.get(account)
    if (!seconds) this.#accounts.set(account, seconds = [])
    while (seconds.length <= atMs / 1e3) seconds.push(createSecond())
    return seconds[Math.floor(atMs / 1e3)]
  }
}

function createSecond (): Second {
  return { asked: 0, got: 0, sizes: [], isShort: false }
}

function computeSum (seconds: readonly Second[], field: 'asked' | 'got'): number {
  return seconds.reduce((total, second) => total + second[field], 0)
}
