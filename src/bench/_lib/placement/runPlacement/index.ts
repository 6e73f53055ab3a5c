import { EngineModel } from '../EngineModel'
import type { EngineRates } from '../EngineRates'
import { EventQueue } from '../EventQueue'
import type { PlacementActions } from '../PlacementActions'
import type { PromptCall } from '../PromptCall'

type End = 'inTime' | 'late' | 'refused' | 'failed'

interface Policy {
  accept: (call: PromptCall, actions: PlacementActions) => void
  handleRead: (call: PromptCall) => void
  handleEnd: (call: PromptCall) => void
}

interface Figures {
  /** Worth of calls in time, and of late ones at their part, over the worth of all. */
  credit: number
  /** The same for the tenth of the accounts that is served worst. */
  worstAccounts: number
  /** Calls of the largest tenth of each kind that are served, over all calls that are served. */
  largestServed: number
  readTokens: number
  ends: Record<End, number>
}

interface SimulationOptions {
  calls: readonly PromptCall[]
  engines: number
  rates: EngineRates
  seconds: number
  createPolicy: (actions: PlacementActions) => Policy
  /** Engines that are slower for some time. */
  slow?: { engines: number, factor: number, fromS: number, untilS: number }
}

const LATE_SHARE = 0.3
const MAX_PAUSE_MS = 300
const DRAIN_MS = 15_000
/** What a caller that came back and is refused again loses, as a part of its worth. */
const REFUSED_AGAIN_SHARE = 0.3

/** Plays calls against engines and a policy, in simulated time. */
export function runPlacement ({ calls, engines: count, rates, seconds, createPolicy, slow }: SimulationOptions): Figures {
  const events = new EventQueue()
  const engines = Array.from({ length: count }, () => new EngineModel(events, rates))
  const results = new Map<string, { call: PromptCall, end: End, isRefusedAgain: boolean }>()
  const arrivals = new Map(calls.map(call => [call.id, call.atMs]))
  const record = (call: PromptCall, end: End): void => { results.set(call.id, { call, end, isRefusedAgain: end === 'refused' && call.isRepeat }) }
  const actions: PlacementActions = {
    nowMs: () => events.nowMs,
    schedule: (delayMs, run) => events.schedule(delayMs, run),
    send: (call, engine) => startCall(call, engines[engine]),
    refuse: (call, retryAfterMs) => {
      if (call.isRepeat) return record(call, 'refused')
      events.schedule(retryAfterMs, () => policy.accept({ ...call, isRepeat: true }, actions))
    }
  }
  const policy = createPolicy(actions)
  const startCall = (call: PromptCall, engine: EngineModel): void => {
    const sentMs = events.nowMs
    const arrivedMs = arrivals.get(call.id)!
    const state = { firstMs: 0, lastMs: 0, pauseMs: 0, isEnded: false }
    const close = (end: End): void => {
      if (state.isEnded) return
      state.isEnded = true
      cancel()
      record(call, end)
      policy.handleEnd(call)
    }
    const cancel = engine.start({
      parts: call.parts,
      outputTokens: call.outputTokens,
      onEvent: () => {
        if (state.firstMs === 0) policy.handleRead(call)
        else state.pauseMs = Math.max(state.pauseMs, events.nowMs - state.lastMs)
        state.firstMs ||= events.nowMs
        state.lastMs = events.nowMs
        if (state.pauseMs > call.patienceMs) close('failed')
      },
      onEnd: () => close(state.firstMs - arrivedMs <= call.objectiveMs && state.pauseMs <= MAX_PAUSE_MS ? 'inTime' : 'late')
    })
    events.schedule(call.patienceMs - (call.isRepeat ? 0 : sentMs - arrivedMs), () => { if (state.firstMs === 0) close('failed') })
    events.schedule(arrivedMs + call.deadlineMs - sentMs, () => close('failed'))
  }
  for (const call of calls) events.schedule(call.atMs, () => policy.accept(call, actions))
  if (slow) {
    const setSlowdown = (factor: number): void => { for (const engine of engines.slice(0, slow.engines)) engine.slowdown = factor }
    events.schedule(slow.fromS * 1e3, () => setSlowdown(slow.factor))
    events.schedule(slow.untilS * 1e3, () => setSlowdown(1))
  }
  events.runUntil(seconds * 1e3 + DRAIN_MS)
  return computeFigures(calls, results, engines)
}

function computeFigures (calls: readonly PromptCall[], results: ReadonlyMap<string, { end: End, isRefusedAgain: boolean }>, engines: readonly EngineModel[]): Figures {
  const ends: Record<End, number> = { inTime: 0, late: 0, refused: 0, failed: 0 }
  const byAccount = new Map<string, { credit: number, worth: number }>()
  let largest = 0
  let largestServed = 0
  const limits = computeSizeLimits(calls)
  for (const call of calls) {
    const { end, isRefusedAgain } = results.get(call.id) ?? { end: 'failed' as const, isRefusedAgain: false }
    ends[end]++
    const account = byAccount.get(call.account) ?? { credit: 0, worth: 0 }
    byAccount.set(call.account, account)
    account.worth += call.worth
    account.credit += call.worth * ({ inTime: 1, late: LATE_SHARE, refused: isRefusedAgain ? -REFUSED_AGAIN_SHARE : 0, failed: 0 })[end]
    if (call.promptTokens < limits.get(call.kind)!) continue
    largest++
    if (end === 'inTime' || end === 'late') largestServed++
  }
  const accounts = [...byAccount.values()]
  const worst = accounts.map(({ credit, worth }) => credit / worth).sort((a, b) => a - b).slice(0, Math.max(1, Math.round(accounts.length / 10)))
  return {
    credit: accounts.reduce((sum, { credit }) => sum + credit, 0) / accounts.reduce((sum, { worth }) => sum + worth, 0),
    worstAccounts: worst.reduce((sum, value) => sum + value, 0) / worst.length,
    largestServed: largestServed / largest / ((ends.inTime + ends.late) / calls.length),
    readTokens: engines.reduce((sum, { readTokens }) => sum + readTokens, 0),
    ends
  }
}

/** Size from which a call belongs to the largest tenth of its kind. */
function computeSizeLimits (calls: readonly PromptCall[]): Map<string, number> {
  const kinds = new Set(calls.map(({ kind }) => kind))
  return new Map([...kinds].map(kind => {
    const sizes = calls.filter(call => call.kind === kind).map(({ promptTokens }) => promptTokens).sort((a, b) => a - b)
    return [kind, sizes[Math.floor(sizes.length * 0.9)]]
  }))
}
