import type { PlacementVerdict } from '../../../../contract/PlacementVerdict'
import { CrashMonitor } from '../../../../routing/CrashMonitor'
import { PromptQuarantine } from '../../../../routing/PromptQuarantine'
import { PromptScheduler } from '../../../../routing/PromptScheduler'
import type { PlacementActions } from '../PlacementActions'
import type { PromptCall } from '../PromptCall'

const logNothing = (): void => {}
const STEP_MS = 15
const TRANSPORT_MS = 6

/** Placement policy that calls the prompt scheduler of the router. */
export function createSchedulerPolicy (actions: PlacementActions, { engines, memoryTokens, slots, random }: { engines: number, memoryTokens: number, slots: number, random: () => number }): { accept: (call: PromptCall) => void, handleFirstEvent: (call: PromptCall) => void, handleEnd: (call: PromptCall) => void } {
  const crashMonitor = new CrashMonitor({ quarantine: new PromptQuarantine(), logger: { error: logNothing, warn: logNothing, info: logNothing, debug: logNothing } })
  const scheduler = new PromptScheduler({ getMemoryTokens: () => memoryTokens, getLoadShare: () => 1, crashMonitor, random, startedMs: -Infinity })
  scheduler.setTargets(Array.from({ length: engines }, (_, i) => ({ id: `engine${i}`, service: 's', host: '10.0.0.1', port: 1, zone: 'z', slots, isDraining: false, warmupMs: 0 })))
  const waiting = new Map<string, PromptCall>()
  const apply = (call: PromptCall, verdict: PlacementVerdict): void => {
    if (verdict.type === 'place') actions.schedule(TRANSPORT_MS, () => actions.send(call, Number(verdict.target.slice('engine'.length))))
    else actions.refuse(call, verdict.type === 'refuse' ? verdict.retryAfterS * 1e3 : 0)
  }
  const step = (): void => {
    for (const [id, verdict] of scheduler.step(actions.nowMs())) {
      apply(waiting.get(id)!, verdict)
      waiting.delete(id)
    }
    actions.schedule(STEP_MS, step)
  }
  actions.schedule(STEP_MS, step)
  return {
    accept: call => {
      const verdict = scheduler.request({ id: call.id, account: call.account, service: 's', zone: 'z', parts: call.parts, promptTokens: call.promptTokens, outputTokens: call.outputHint, objectiveMs: call.objectiveMs, excluded: [] }, actions.nowMs())
      if (verdict) apply(call, verdict)
      else waiting.set(call.id, call)
    },
    handleFirstEvent: call => scheduler.record(call.id, 'read', actions.nowMs()),
    handleEnd: call => scheduler.record(call.id, 'ended', actions.nowMs())
  }
}
