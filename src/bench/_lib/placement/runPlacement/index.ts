import { computeCallTokens } from '../../../../routing/computeCallTokens'
import { EngineModel } from '../EngineModel'
import type { EngineParameters } from '../EngineParameters'
import { EventQueue } from '../EventQueue'
import type { PlacementActions } from '../PlacementActions'
import type { PromptCall } from '../PromptCall'
import { ShareMeter } from '../ShareMeter'

type Outcome = 'inTime' | 'late' | 'refused' | 'failed'

interface Policy {
  accept: (call: PromptCall, actions: PlacementActions) => void
  handleFirstEvent: (call: PromptCall) => void
  handleEnd: (call: PromptCall) => void
}

interface PlacementFigures {
  /**
   * Sum of the credit of all calls, divided by the sum of their maximum credit. A call in time earns its maximum, a
   * late one 0.3 of it, and a second refusal costs 0.3 of it.
   */
  credit: number
  /** Mean credit ratio of the 10% of the accounts with the lowest ratio. */
  worstAccounts: number
  /**
   * Share of served calls among the 10% of each kind with the largest prompts, divided by the share of served calls
   * among all.
   */
  largestServed: number
  prefilledTokens: number
  /** Shares of the accounts in the users' tokens: a prompt token counts once, cached or not, a generated one twice. */
  shares: ShareMeter
  outcomes: Record<Outcome, number>
}

interface SimulationOptions {
  calls: readonly PromptCall[]
  engines: number
  parameters: EngineParameters
  seconds: number
  createPolicy: (actions: PlacementActions) => Policy
  /** From `fromS` until `untilS`, the steps of the first `engines` engines take `factor` times as long. */
  slow?: { engines: number, factor: number, fromS: number, untilS: number }
}

/** Credit of a late call, as a share of its maximum credit. */
const LATE_CREDIT_SHARE = 0.3
/** A call with a longer pause between two events is late. */
const MAX_PAUSE_MS = 300
/** Simulated time after the load ends, for calls that still run. */
const DRAIN_MS = 15_000
/** Penalty for refusing the retry of a refused call, as a share of its maximum credit. */
const REFUSED_AGAIN_PENALTY_SHARE = 0.3

/** Simulates the calls on engines with a placement policy. */
export function runPlacement ({ calls, engines: count, parameters, seconds, createPolicy, slow }: SimulationOptions): PlacementFigures {
  const events = new EventQueue()
  const engines = Array.from({ length: count }, () => new EngineModel(events, parameters))
  const results = new Map<string, { call: PromptCall, outcome: Outcome, isRefusedAgain: boolean }>()
  const arrivals = new Map(calls.map(call => [call.id, call.atMs]))
  const record = (call: PromptCall, outcome: Outcome): void => { results.set(call.id, { call, outcome, isRefusedAgain: outcome === 'refused' && call.isRetry }) }
  const shares = new ShareMeter()
  const accept = (call: PromptCall): void => {
    shares.recordRequest(call.account, computeCallTokens(call), events.nowMs)
    policy.accept(call, actions)
  }
  const actions: PlacementActions = {
    nowMs: () => events.nowMs,
    schedule: (delayMs, run) => events.schedule(delayMs, run),
    send: (call, engine) => startCall(call, engines[engine]),
    refuse: (call, retryAfterMs) => {
      shares.recordRefusal(call.account, events.nowMs)
      if (call.isRetry) return record(call, 'refused')
      events.schedule(retryAfterMs, () => accept({ ...call, isRetry: true }))
    }
  }
  const policy = createPolicy(actions)
  const startCall = (call: PromptCall, engine: EngineModel): void => {
    const sentMs = events.nowMs
    const arrivedMs = arrivals.get(call.id)!
    const state = { firstMs: 0, lastMs: 0, pauseMs: 0, isEnded: false }
    const complete = (outcome: Outcome): void => {
      if (state.isEnded) return
      state.isEnded = true
      cancel()
      shares.recordLateness(call.account, { fromMs: sentMs + call.objectiveMs, untilMs: state.firstMs || events.nowMs })
      record(call, outcome)
      policy.handleEnd(call)
    }
    const cancel = engine.start({
      parts: call.parts,
      outputTokens: call.outputTokens,
      onEvent: () => {
        if (state.firstMs === 0) {
          policy.handleFirstEvent(call)
          shares.recordStart(call.account, computeCallTokens(call), events.nowMs)
        } else state.pauseMs = Math.max(state.pauseMs, events.nowMs - state.lastMs)
        state.firstMs ||= events.nowMs
        state.lastMs = events.nowMs
        if (state.pauseMs > call.eventTimeoutMs) complete('failed')
      },
      onEnd: () => complete(state.firstMs - arrivedMs <= call.objectiveMs && state.pauseMs <= MAX_PAUSE_MS ? 'inTime' : 'late')
    })
    events.schedule(call.eventTimeoutMs - (call.isRetry ? 0 : sentMs - arrivedMs), () => { if (state.firstMs === 0) complete('failed') })
    events.schedule(arrivedMs + call.deadlineMs - sentMs, () => complete('failed'))
  }
  for (const call of calls) events.schedule(call.atMs, () => accept(call))
  if (slow) {
    const setSlowdown = (factor: number): void => { for (const engine of engines.slice(0, slow.engines)) engine.slowdown = factor }
    events.schedule(slow.fromS * 1e3, () => setSlowdown(slow.factor))
    events.schedule(slow.untilS * 1e3, () => setSlowdown(1))
  }
  events.runUntil(seconds * 1e3 + DRAIN_MS)
  return { ...computeFigures(calls, results, engines), shares }
}

function computeFigures (calls: readonly PromptCall[], results: ReadonlyMap<string, { outcome: Outcome, isRefusedAgain: boolean }>, engines: readonly EngineModel[]): Omit<PlacementFigures, 'shares'> {
  const outcomes: Record<Outcome, number> = { inTime: 0, late: 0, refused: 0, failed: 0 }
  const byAccount = new Map<string, { credit: number, maxCredit: number }>()
  let largest = 0
  let largestServed = 0
  const limits = computeSizeLimits(calls)
  for (const call of calls) {
    const { outcome, isRefusedAgain } = results.get(call.id) ?? { outcome: 'failed' as const, isRefusedAgain: false }
    outcomes[outcome]++
    const account = byAccount.get(call.account) ?? { credit: 0, maxCredit: 0 }
    byAccount.set(call.account, account)
    account.maxCredit += call.maxCredit
    account.credit += call.maxCredit * ({ inTime: 1, late: LATE_CREDIT_SHARE, refused: isRefusedAgain ? -REFUSED_AGAIN_PENALTY_SHARE : 0, failed: 0 })[outcome]
    if (call.promptTokens < limits.get(call.kind)!) continue
    largest++
    if (outcome === 'inTime' || outcome === 'late') largestServed++
  }
  const accounts = [...byAccount.values()]
  const worst = accounts.map(({ credit, maxCredit }) => credit / maxCredit).sort((a, b) => a - b).slice(0, Math.max(1, Math.round(accounts.length / 10)))
  return {
    credit: accounts.reduce((sum, { credit }) => sum + credit, 0) / accounts.reduce((sum, { maxCredit }) => sum + maxCredit, 0),
    worstAccounts: worst.reduce((sum, value) => sum + value, 0) / worst.length,
    largestServed: largestServed / largest / ((outcomes.inTime + outcomes.late) / calls.length),
    prefilledTokens: engines.reduce((sum, { prefilledTokens }) => sum + prefilledTokens, 0),
    outcomes
  }
}

/** Computes the 90th percentile of the prompt size of each kind. */
function computeSizeLimits (calls: readonly PromptCall[]): Map<string, number> {
  const kinds = new Set(calls.map(({ kind }) => kind))
  return new Map([...kinds].map(kind => {
    const sizes = calls.filter(call => call.kind === kind).map(({ promptTokens }) => promptTokens).sort((a, b) => a - b)
    return [kind, sizes[Math.floor(sizes.length * 0.9)]]
  }))
}
