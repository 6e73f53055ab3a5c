import type { Agent } from 'undici'
import { checkTokens } from '../_lib/checkTokens'
import type { CallPlan } from '../CallPlan'
import type { CallResult } from '../CallResult'

interface SendCallOptions {
  agent: Agent
  timeoutMs: number
  /** When the call was due, on the monotonic clock. */
  plannedAtMs: number
  verifiesTokens: boolean
}

const OUTCOMES: ReadonlySet<unknown> = new Set(['complete', 'not-run', 'unknown'])

/**
 * @name sendCall
 * @category Load
 * @summary Sends one request and reports what the caller saw of it.
 *
 * @param plan - The request.
 * @param options - Connections, time limit and checks.
 * @returns The result; it never rejects.
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
    const stated = response.headers['papayalead-outcome']
    return { ...await checkAnswer(plan, { status, stated, text }, options.verifiesTokens), status, firstByteMs, ...times }
  } catch {
    const outcome = signal.aborted ? 'timeout' : status === undefined ? 'lost' : 'truncated'
    return { outcome, status, firstByteMs, tokens: 0, ...measureTimes() }
  }
}

interface Answer {
  status: number
  stated: unknown
  text: string
}

async function checkAnswer (plan: CallPlan, { status, stated, text }: Answer, verifiesTokens: boolean): Promise<Pick<CallResult, 'outcome' | 'errorKind' | 'tokens'>> {
  const outcome = OUTCOMES.has(stated) ? stated as CallResult['outcome'] : status < 500 ? 'complete' : 'unknown'
  if (outcome !== 'complete') return { outcome, errorKind: findErrorKind(text), tokens: 0 }
  if (status >= 400) return { outcome, tokens: 0 }
  if (plan.expected === undefined) return { outcome: isOwnBooking(plan, text) ? outcome : 'wrong', tokens: 0 }
  if (plan.expected.isStreamed && !text.trimEnd().endsWith('data: [DONE]')) return { outcome: 'truncated', tokens: 0 }
  if (!verifiesTokens) return { outcome, tokens: plan.expected.tokens }
  const { isRight, tokens } = await checkTokens(text, plan.expected)
  return { outcome: isRight ? outcome : 'wrong', tokens }
}

/** The booking stand-in repeats the booking in its answer. */
function isOwnBooking (plan: CallPlan, text: string): boolean {
  return plan.kind !== 'booking' || text.includes(`"bookingId":"${plan.id}"`)
}

function findErrorKind (text: string): string | undefined {
  return /"kind":"([a-z-]+)"/.exec(text)?.[1]
}
