import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { PromptCall } from '../PromptCall'

interface Sizes {
  mean: number
  spread: number
  max: number
}

interface CallKind {
  name: string
  share: number
  objectiveMs: number
  deadlineMs: number
  worth: number
  /** Shared parts in order, each drawn from a number of things. */
  shared: Array<Sizes & { things: number }>
  own: Sizes
  events: Sizes
}

interface Surge {
  fromS: number
  untilS: number
  factor: number
  /** Rank of a client account by size, or all. */
  account?: number
  kind?: string
}

interface LoadOptions {
  seed: number
  callsPerS: number
  seconds: number
  accounts: number
  surges?: Surge[]
  /** Part of the calls of a kind that are about one thing. */
  hotThing?: { kind: string, share: number, fromS: number, untilS: number }
}

const ACCOUNT_SKEW = 1.2
const MAX_SURGE = 12
const TOKENS_PER_EVENT = 5
const MIN_PATIENCE_MS = 2_400

/** The three kinds of prompts of the users' sheets. */
const KINDS: CallKind[] = [
  { name: 'long', share: 43.7, objectiveMs: 600, deadlineMs: 8_000, worth: 3.7, shared: [{ mean: 13_300, spread: 0.7, max: 39_900, things: 154 }], own: { mean: 3_720, spread: 1.1, max: 53_200 }, events: { mean: 23.9, spread: 1.4, max: 95.8 } },
  { name: 'medium', share: 39.8, objectiveMs: 600, deadlineMs: 5_000, worth: 2.6, shared: [{ mean: 2_520, spread: 0.4, max: 6_290, things: 4 }, { mean: 3_780, spread: 0.7, max: 11_300, things: 62 }], own: { mean: 2_890, spread: 1, max: 39_600 }, events: { mean: 10.4, spread: 1.4, max: 41.7 } },
  { name: 'chat', share: 83, objectiveMs: 500, deadlineMs: 10_000, worth: 0.32, shared: [{ mean: 210, spread: 0.4, max: 524, things: 20 }, { mean: 140, spread: 0.7, max: 419, things: 130 }], own: { mean: 1_110, spread: 1, max: 3_790 }, events: { mean: 34.5, spread: 0.89, max: 120 } }
]

/** Calls in the order of their times: Poisson arrivals, skewed over accounts, with log-normal sizes. */
export function createPromptLoad (options: LoadOptions): PromptCall[] {
  const random = createRandom(options.seed)
  const partTokens = new Map<string, number>()
  const weights = Array.from({ length: options.accounts }, (_, rank) => 1 / (rank + 1) ** ACCOUNT_SKEW)
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0)
  const shareSum = KINDS.reduce((sum, { share }) => sum + share, 0)
  const calls: PromptCall[] = []
  for (const [account, weight] of weights.entries()) {
    for (const kind of KINDS) {
      const perMs = options.callsPerS / 1e3 * kind.share / shareSum * weight / weightSum
      for (const atMs of listArrivals(perMs, { options, account, kind: kind.name, random })) {
        calls.push(createCall(kind, { id: `call${calls.length}`, atMs, account: `account${account}`, options, random, partTokens }))
      }
    }
  }
  return calls.sort((a, b) => a.atMs - b.atMs)
}

/** Thins out arrivals at the highest rate, so that surges need no separate process. */
function * listArrivals (perMs: number, { options, account, kind, random }: { options: LoadOptions, account: number, kind: string, random: () => number }): Generator<number> {
  for (let atMs = 0; ;) {
    atMs += -Math.log(1 - random()) / (perMs * MAX_SURGE)
    if (atMs >= options.seconds * 1e3) return
    const surges = (options.surges ?? []).filter(surge => isActive(surge, atMs) && (surge.account ?? account) === account && (surge.kind ?? kind) === kind)
    const factor = surges.reduce((product, surge) => product * surge.factor, 1)
    if (random() < factor / MAX_SURGE) yield atMs
  }
}

function createCall (kind: CallKind, { id, atMs, account, options, random, partTokens }: { id: string, atMs: number, account: string, options: LoadOptions, random: () => number, partTokens: Map<string, number> }): PromptCall {
  const { hotThing } = options
  const isHot = hotThing !== undefined && hotThing.kind === kind.name && isActive(hotThing, atMs) && random() < hotThing.share
  const parts = kind.shared.map((shared, index) => {
    const part = `${kind.name}${index}.${isHot ? 0 : Math.floor(random() * shared.things)}`
    if (!partTokens.has(part)) partTokens.set(part, Math.round(computeSize(random, shared)))
    return { id: part, tokens: partTokens.get(part)! }
  })
  parts.push({ id: `own.${id}`, tokens: Math.round(computeSize(random, kind.own)) })
  const { objectiveMs, deadlineMs, worth, events } = kind
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
    patienceMs: Math.max(MIN_PATIENCE_MS, 4 * objectiveMs),
    deadlineMs,
    worth,
    isRepeat: false
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

/** A log-normal size with the given mean, cut at its largest value. */
function computeSize (random: () => number, { mean, spread, max }: Sizes): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return Math.min(max, Math.max(1, Math.exp(Math.log(mean) - spread * spread / 2 + spread * normal)))
}
