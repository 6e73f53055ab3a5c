import type { CallPlan } from '../CallPlan'
import type { LoadGroup } from '../LoadGroup'

type Call = LoadGroup['calls'][number]

interface CallPlannerOptions {
  urls: readonly string[]
  /** Prefix of request ids; the number of the request follows. */
  idPrefix: string
  /** Whether the URLs are those of targets instead of routers. */
  isDirect?: boolean
  random: () => number
}

const PREFIX_CHARS = 256

/**
 * @name createCallPlanner
 * @category Load
 * @summary Creates a function that draws the next request of a group at random.
 *
 * @param group - Settings of the group.
 * @param options - Router URLs, id prefix and random number generator.
 * @returns A function that returns the next request; equal random numbers give equal requests.
 *
 * @example
 * const planCall = createCallPlanner(group, { urls, idPrefix: 'g', random: createRandom(1) })
 */
export function createCallPlanner (group: LoadGroup, options: CallPlannerOptions): () => CallPlan {
  const { random, urls, idPrefix } = options
  let count = 0
  const createServicePath = (service: string, path: string): string => options.isDirect ? path : `/services/${service}${path}`
  const chooseInteger = ([low, high]: [number, number]): number => low + Math.floor(random() * (high - low + 1))
  const createBody = (call: Call, id: string): Pick<CallPlan, 'body' | 'expected'> => {
    const tokens = chooseInteger(call.maxTokens)
    const prompt = createPrompt(Math.floor(random() * call.prefixes), id, chooseInteger(call.promptChars))
    const content = call.kind === 'chat' ? { messages: [{ role: 'user', content: prompt }] } : { prompt }
    const body = JSON.stringify({ model: call.service, ...content, max_tokens: tokens, stream: call.isStreamed })
    return { body, expected: { prompt, tokens, isStreamed: call.isStreamed } }
  }
  return () => {
    const id = `${idPrefix}-${count++}`
    const account = chooseByShare(group.accounts, random())
    const call = chooseByShare(group.calls, random())
    const headers: Record<string, string> = { authorization: `Bearer ${account.key}`, 'x-request-id': id }
    const plan = { id, account: account.name, kind: call.kind, url: urls[Math.floor(random() * urls.length)], headers }
    if (call.kind === 'read') return { ...plan, method: 'GET', path: createServicePath(call.service, `/bookings/${Math.floor(random() * 10)}`) }
    headers['content-type'] = 'application/json'
    if (call.kind === 'booking') {
      if (call.hasKey) headers['idempotency-key'] = `key-${id}`
      return { ...plan, method: 'POST', path: createServicePath(call.service, '/bookings'), body: JSON.stringify({ bookingId: id }) }
    }
    return { ...plan, method: 'POST', path: call.kind === 'chat' ? '/v1/chat/completions' : '/v1/completions', ...createBody(call, id) }
  }
}

function chooseByShare<T extends { share: number }> (items: readonly T[], draw: number): T {
  let remainingDraw = draw * items.reduce((sum, item) => sum + item.share, 0)
  for (const item of items) {
    remainingDraw -= item.share
    if (remainingDraw < 0) return item
  }
  return items[items.length - 1]
}

/**
 * Starts a long prompt with a shared text that depends only on the prefix; a prompt too short for it has no shared
 * text. The rest contains the id, so that every prompt is unique.
 */
function createPrompt (prefix: number, id: string, chars: number): string {
  const sharedText = `Shared instructions ${prefix}. `.padEnd(PREFIX_CHARS, `dosing log ${prefix} `)
  const uniqueText = `Request ${id}. `
  return chars > PREFIX_CHARS + uniqueText.length ? (sharedText + uniqueText).padEnd(chars, uniqueText) : uniqueText.padEnd(chars, uniqueText)
}
