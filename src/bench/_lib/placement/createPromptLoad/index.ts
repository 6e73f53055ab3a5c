import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { PromptCall } from '../PromptCall'

/** Log-normal distribution with an upper limit. */
interface Sizes {
  mean: number
  /** Standard deviation of the logarithm. */
  sigma: number
  max: number
}

interface CallKind {
  name: string
  /** Weight of the kind in the mix of calls. */
  share: number
  objectiveMs: number
  deadlineMs: number
  maxCredit: number
  /** Shared prompt parts in order. Each is drawn uniformly from a number of variants. */
  sharedParts: Array<Sizes & { variants: number }>
  /** Size of the last part, which no other call has. */
  ownPart: Sizes
  /** Events of the streamed response. */
  events: Sizes
}

interface Surge {
  fromS: number
  untilS: number
  /** Factor on the arrival rate. */
  factor: number
  /** Rank of a client account by load, 0 for the largest. All accounts if unset. */
  account?: number
  /** All kinds if unset. */
  kind?: string
}

interface LoadOptions {
  seed: number
  callsPerS: number
  seconds: number
  accounts: number
  surges?: Surge[]
  /** Period in which a share of the calls of one kind has the same shared parts. */
  hotPrompt?: { kind: string, share: number, fromS: number, untilS: number }
}

/** Exponent of the Zipf distribution of calls over accounts. */
const ACCOUNT_SKEW = 1.2
/** Factor on the arrival rate up to which thinning represents surges, unless they have a higher product. */
const MIN_THINNING_FACTOR = 12
const TOKENS_PER_EVENT = 5
const MIN_EVENT_TIMEOUT_MS = 2_400

/** The three kinds of prompts in the users' documentation. */
const KINDS: CallKind[] = [
  { name: 'long', share: 43.7, objectiveMs: 600, deadlineMs: 8_000, maxCredit: 3.7, sharedParts: [{ mean: 13_300, sigma: 0.7, max: 39_900, variants: 154 }], ownPart: { mean: 3_720, sigma: 1.1, max: 53_200 }, events: { mean: 23.9, sigma: 1.4, max: 95.8 } },
  { name: 'medium', share: 39.8, objectiveMs: 600, deadlineMs: 5_000, maxCredit: 2.6, sharedParts: [{ mean: 2_520, sigma: 0.4, max: 6_290, variants: 4 }, { mean: 3_780, sigma: 0.7, max: 11_300, variants: 62 }], ownPart: { mean: 2_890, sigma: 1, max: 39_600 }, events: { mean: 10.4, sigma: 1.4, max: 41.7 } },
  { name: 'chat', share: 83, objectiveMs: 500, deadlineMs: 10_000, maxCredit: 0.32, sharedParts: [{ mean: 210, sigma: 0.4, max: 524, variants: 20 }, { mean: 140, sigma: 0.7, max: 419, variants: 130 }], ownPart: { mean: 1_110, sigma: 1, max: 3_790 }, events: { mean: 34.5, sigma: 0.89, max: 120 } }
]

/** Creates calls in the order of arrival: Poisson arrivals, skewed over accounts, with log-normal sizes. */
export function createPromptLoad (options: LoadOptions): PromptCall[] {
  const random = createRandom(options.seed)
  const partTokens = new Map<string, number>()
  const weights = Array.from({ length: options.accounts }, (_, rank) => 1 / (rank + 1) ** ACCOUNT_SKEW)
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0)
  const shareSum = KINDS.reduce((sum, { share }) => sum + share, 0)
  const calls: PromptCall[] = []
  for (const [account, weight] of weights.entries()) {
    for (const kind of KINDS) {
      const callsPerMs = options.callsPerS / 1e3 * kind.share / shareSum * weight / weightSum
      for (const atMs of listArrivals(callsPerMs, { options, account, kind: kind.name, random })) {
        calls.push(createCall(kind, { id: `call${calls.length}`, atMs, account: `account${account}`, options, random, partTokens }))
      }
    }
  }
  return calls.sort((a, b) => a.atMs - b.atMs)
}

/**
 * Samples an inhomogeneous Poisson process by thinning: draws arrivals at the highest rate and keeps each with a
 * probability equal to the current rate divided by the highest rate, so that surges need no separate process.
 */
function * listArrivals (callsPerMs: number, { options, account, kind, random }: { options: LoadOptions, account: number, kind: string, random: () => number }): Generator<number> {
  const own = (options.surges ?? []).filter(surge => (surge.account ?? account) === account && (surge.kind ?? kind) === kind)
  const maxFactor = Math.max(MIN_THINNING_FACTOR, own.reduce((product, { factor }) => product * Math.max(1, factor), 1))
  for (let atMs = 0; ;) {
    atMs += -Math.log(1 - random()) / (callsPerMs * maxFactor)
    if (atMs >= options.seconds * 1e3) return
    const factor = own.filter(surge => isActive(surge, atMs)).reduce((product, surge) => product * surge.factor, 1)
    if (random() < factor / maxFactor) yield atMs
  }
}

function createCall (kind: CallKind, { id, atMs, account, options, random, partTokens }: { id: string, atMs: number, account: string, options: LoadOptions, random: () => number, partTokens: Map<string, number> }): PromptCall {
  const { hotPrompt } = options
  const isHot = hotPrompt !== undefined && hotPrompt.kind === kind.name && isActive(hotPrompt, atMs) && random() < hotPrompt.share
  const parts = kind.sharedParts.map((shared, index) => {
    const part = `${kind.name}${index}.${isHot ? 0 : Math.floor(random() * shared.variants)}`
    if (!partTokens.has(part)) partTokens.set(part, Math.round(computeSize(random, shared)))
    return { id: part, tokens: partTokens.get(part)! }
  })
  parts.push({ id: `own.${id}`, tokens: Math.round(computeSize(random, kind.ownPart)) })
  const { objectiveMs, deadlineMs, maxCredit, events } = kind
  return {
    id,
    atMs,
    kind: kind.name,
    account,
    parts,
    promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
    outputTokens: Math.max(1, Math.round(computeSize(random, events))) * TOKENS_PER_EVENT,
    outputHint: events.mean * TOKENS_PER_EVENT,
    objectiveMs,
    eventTimeoutMs: Math.max(MIN_EVENT_TIMEOUT_MS, 4 * objectiveMs),
    deadlineMs,
    maxCredit,
    isRetry: false
  }
}

function isActive ({ fromS, untilS }: { fromS: number, untilS: number }, atMs: number): boolean {
  return atMs >= fromS * 1e3 && atMs < untilS * 1e3
}

function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  for (let i = 0; i < 20; i++) generator.next()
  return () => (generator.next() >>> 0) / 2 ** 32
}

/** Draws a log-normal size with the given mean and clamps it to the range from 1 to the maximum. */
function computeSize (random: () => number, { mean, sigma, max }: Sizes): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return Math.min(max, Math.max(1, Math.exp(Math.log(mean) - sigma * sigma / 2 + sigma * normal)))
}
