import type { RequestMetadata } from '../../contract/RequestMetadata'
import type { PlacementProgress } from '../../contract/PlacementProgress'
import type { TargetEntry } from '../../contract/TargetEntry'
import type { AttemptResult } from '../../routing/AttemptResult'
import type { GatewayContext } from '../GatewayContext'

interface PlaceCallOptions {
  metadata: RequestMetadata
  account: string
  service: string
  /** Whether the targets of the service are engines. */
  isEngineService: boolean
  objectiveMs: number
  excluded: ReadonlySet<string>
}

interface Estimate {
  /** Estimated time until the engine starts the prefill. */
  waitMs: number
  /** Estimated prefill time. */
  readMs: number
  /** Instance that decided on the placement. */
  scheduler: string
}

type Placement =
  | { type: 'place', target: TargetEntry, estimate?: Estimate, record: (event: PlacementProgress[number][1]) => void }
  | { type: 'refused', retryAfterS: number, estimate: Estimate }
  | Extract<AttemptResult, { type: 'blocked' }>
  | { type: 'no-target' }

/** Callers state token counts, and no engine has memory for more. A larger count would outweigh all others in sums. */
const MAX_TOKENS = 10_000_000
/** Typical share of the maximum output tokens that is generated; used for callers that give no estimate. */
const TYPICAL_OUTPUT_SHARE = 0.25

let nextId = 1

/**
 * @name placeCall
 * @category Gateway
 * @summary Finds the target for one attempt of a request and counts the attempt in the load of that target.
 *
 * @description
 * Prompts for engines are placed by the scheduler of the fleet, other calls by this router. The progress and the end of
 * the attempt must be reported to `record`, which also removes it from the load.
 *
 * @param request - The call to place.
 * @param context - Dependencies that all requests of the router share.
 * @returns The target, or the reason why there is none.
 *
 * @example
 * const placement = await placeCall(request, context)
 */
export async function placeCall (request: PlaceCallOptions, context: GatewayContext): Promise<Placement> {
  return request.isEngineService && request.metadata.parts.length > 0 ? await placePrompt(request, context) : placeLocally(request, context)
}

async function placePrompt ({ metadata, account, service, objectiveMs, excluded }: PlaceCallOptions, context: GatewayContext): Promise<Placement> {
  const { placements, zone, findTarget, loads } = context
  const { outputTokens, outputHint } = metadata
  const parts = metadata.parts.map(({ id, tokens }) => ({ id, tokens: Math.min(tokens, MAX_TOKENS) }))
  const promptTokens = Math.min(metadata.promptTokens, MAX_TOKENS)
  const estimatedOutput = Math.min(outputHint ?? outputTokens * TYPICAL_OUTPUT_SHARE, MAX_TOKENS)
  const id = String(nextId++)
  const { verdict, scheduler } = await placements.request({ id, callId: metadata.id, account, service, zone, parts, promptTokens, outputTokens: estimatedOutput, objectiveMs, excluded: [...excluded] })
  if (verdict.type === 'refuse') return { type: 'refused', retryAfterS: verdict.retryAfterS, estimate: createEstimate(verdict, scheduler) }
  if (verdict.type === 'blocked') return verdict
  const target = verdict.type === 'place' ? findTarget(verdict.target) : undefined
  if (!target || verdict.type !== 'place') {
    placements.record(id, 'ended')
    return { type: 'no-target' }
  }
  const release = loads.add(target.id, { tokens: promptTokens })
  // The end of the prefill is reported at most once, and not after the end of the attempt.
  let isReadSettled = false
  const record = (event: PlacementProgress[number][1]): void => {
    if (event !== 'read') release()
    if (event === 'read' && isReadSettled) return
    isReadSettled = true
    placements.record(id, event)
  }
  return { type: 'place', target, estimate: createEstimate(verdict, scheduler), record }
}

function createEstimate ({ waitMs, readMs }: { waitMs: number, readMs: number }, scheduler: string): Estimate {
  return { waitMs: Math.round(waitMs), readMs: Math.round(readMs), scheduler }
}

function placeLocally ({ metadata, service, excluded }: PlaceCallOptions, { selector, loads }: GatewayContext): Placement {
  const target = selector.select({ service, excluded }, performance.now())
  if (!target) return { type: 'no-target' }
  const release = loads.add(target.id, { tokens: metadata.promptTokens })
  const record = (event: PlacementProgress[number][1]): void => {
    const nowMs = performance.now()
    if (event === 'read') return selector.circuits.recordSuccess(target.id)
    release()
    if (event === 'unreachable') selector.circuits.open(target.id, nowMs)
    else if (event === 'lost') selector.circuits.recordFailure(target.id, nowMs)
    else selector.circuits.releaseProbe(target.id)
  }
  return { type: 'place', target, record }
}
