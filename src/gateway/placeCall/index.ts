import type { RequestMetadata } from '../../contract/RequestMetadata'
import type { PlacementProgress } from '../../contract/PlacementProgress'
import type { TargetEntry } from '../../contract/TargetEntry'
import type { GatewayContext } from '../GatewayContext'

interface PlaceRequest {
  facts: RequestMetadata
  account: string
  service: string
  isEngine: boolean
  objectiveMs: number
  excluded: ReadonlySet<string>
}

/** Estimated times until the engine begins with the prompt and until it has read it, and who estimated them. */
interface Estimate {
  waitMs: number
  readMs: number
  scheduler: string
}

type Place =
  | { type: 'place', target: TargetEntry, estimate?: Estimate, record: (event: PlacementProgress[number][1]) => void }
  | { type: 'refused', retryAfterS: number, estimate: Estimate }
  | { type: 'no-target' }

/** Part of the most output tokens that is usually generated, for callers that give no estimate. */
const USUAL_OUTPUT_SHARE = 0.25

let nextId = 1

/**
 * @name placeCall
 * @category Gateway
 * @summary Finds the target for one attempt of a request, and keeps account of it there.
 *
 * @description
 * Prompts for engines are placed by the scheduler of the fleet, other calls by this router. `record` must be told what
 * became of the attempt.
 *
 * @param request - What is to be placed.
 * @param context - What all requests of the router share.
 * @returns The target, or why there is none.
 *
 * @example
 * const place = await placeCall(request, context)
 */
export async function placeCall (request: PlaceRequest, context: GatewayContext): Promise<Place> {
  return request.isEngine && request.facts.parts.length > 0 ? await placePrompt(request, context) : placeOther(request, context)
}

async function placePrompt ({ facts, account, service, objectiveMs, excluded }: PlaceRequest, context: GatewayContext): Promise<Place> {
  const { placements, zone, findTarget, loads } = context
  const { parts, promptTokens, outputTokens, outputHint } = facts
  const id = String(nextId++)
  const { verdict, scheduler } = await placements.request({ id, callId: facts.id, account, service, zone, parts, promptTokens, outputTokens: outputHint ?? outputTokens * USUAL_OUTPUT_SHARE, objectiveMs, excluded: [...excluded] })
  if (verdict.type === 'refuse') return { type: 'refused', retryAfterS: verdict.retryAfterS, estimate: createEstimate(verdict, scheduler) }
  const target = verdict.type === 'place' ? findTarget(verdict.target) : undefined
  if (!target || verdict.type !== 'place') {
    placements.record(id, 'ended')
    return { type: 'no-target' }
  }
  const release = loads.add(target.id, { tokens: promptTokens })
  let isRead = false
  const record = (event: PlacementProgress[number][1]): void => {
    if (event !== 'read') release()
    if (event === 'read' && isRead) return
    isRead = true
    placements.record(id, event)
  }
  return { type: 'place', target, estimate: createEstimate(verdict, scheduler), record }
}

function createEstimate ({ waitMs, readMs }: { waitMs: number, readMs: number }, scheduler: string): Estimate {
  return { waitMs: Math.round(waitMs), readMs: Math.round(readMs), scheduler }
}

function placeOther ({ facts, service, excluded }: PlaceRequest, { placer, loads }: GatewayContext): Place {
  const target = placer.place({ service, excluded }, performance.now())
  if (!target) return { type: 'no-target' }
  const release = loads.add(target.id, { tokens: facts.promptTokens })
  const record = (event: PlacementProgress[number][1]): void => {
    const nowMs = performance.now()
    if (event === 'read') return placer.circuits.recordSuccess(target.id)
    release()
    if (event === 'unreachable') placer.circuits.open(target.id, nowMs)
    else if (event === 'lost') placer.circuits.recordFailure(target.id, nowMs)
    else placer.circuits.releaseProbe(target.id)
  }
  return { type: 'place', target, record }
}
