import type { Agent } from 'undici'
import { checkTokens } from '../_lib/checkTokens'
import type { CallPlan } from '../CallPlan'
import type { CallResult } from '../CallResult'

interface SendCallOptions {
  agent: Agent
  timeoutMs: number
  /** Planned start on the monotonic clock. */
  plannedAtMs: number
  verifiesTokens: boolean
}

const OUTCOMES: ReadonlySet<unknown> = new Set(['complete', 'not-run', 'unknown'])

/**
 * @name sendCall
 * @category Load
 * @summary Sends one request and returns its result as observed by the caller.
 *
 * @param plan - Request to send.
 * @param options - HTTP agent, time-out and checks.
 * @returns The result; the promise never rejects.
 *
 * @example
 * const { outcome } = await sendCall(planCall(), options)
 */
export async function sendCall (plan: CallPlan, options: SendCallOptions): Promise<CallResult> {
  const startedAtMs = performance.now()
  const signal = AbortSignal.timeout(options.timeoutMs)
  const measureTimes = () => ({ latencyMs: performance.now() - options.plannedAtMs, serviceMs: performance.now() - startedAtMs })
  let status: number | undefined
  let firstByteMs: number | undefined
  try {
    const { url, method, path, headers, body } = plan
    const response = await options.agent.request({ origin: url, method, path, headers, body, signal })
    status = response.statusCode
    let text = ''
    for await (const chunk of response.body.setEncoding('utf8')) {
      firstByteMs ??= performance.now() - options.plannedAtMs
      text += String(chunk)
    }
    const times = measureTimes()
    const statedOutcome = response.headers['papayalead-outcome']
    return { ...await checkResponse(plan, { status, statedOutcome, text }, options.verifiesTokens), status, firstByteMs, ...times }
  } catch {
    const outcome = signal.aborted ? 'timeout' : status === undefined ? 'lost' : 'truncated'
    return { outcome, status, firstByteMs, tokens: 0, ...measureTimes() }
  }
}

interface ReceivedResponse {
  status: number
  statedOutcome: unknown
  text: string
}

async function checkResponse (plan: CallPlan, { status, statedOutcome, text }: ReceivedResponse, verifiesTokens: boolean): Promise<Pick<CallResult, 'outcome' | 'errorKind' | 'tokens'>> {
  const outcome = OUTCOMES.has(statedOutcome) ? statedOutcome as CallResult['outcome'] : status < 500 ? 'complete' : 'unknown'
  if (outcome !== 'complete') return { outcome, errorKind: findErrorKind(text), tokens: 0 }
  if (status >= 400) return { outcome, tokens: 0 }
  if (plan.expected === undefined) return { outcome: isBookingIdValid(plan, text) ? outcome : 'wrong', tokens: 0 }
  if (plan.expected.isStreamed && !text.trimEnd().endsWith('data: [DONE]')) return { outcome: 'truncated', tokens: 0 }
  if (!verifiesTokens) return { outcome, tokens: plan.expected.tokens }
  const { isCorrect, tokens } = await checkTokens(text, plan.expected)
  return { outcome: isCorrect ? outcome : 'wrong', tokens }
}

/**
 * Whether the response to a booking contains the id of the booking, which the booking stand-in returns. True for reads,
 * whose responses are not checked.
 */
function isBookingIdValid (plan: CallPlan, text: string): boolean {
  return plan.kind !== 'booking' || text.includes(`"bookingId":"${plan.id}"`)
}

function findErrorKind (text: string): string | undefined {
  return /"kind":"([a-z-]+)"/.exec(text)?.[1]
}
