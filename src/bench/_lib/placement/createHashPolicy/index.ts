import { RendezvousOrder } from '../../../../routing/RendezvousOrder'
import type { PlacementActions } from '../PlacementActions'
import type { PromptCall } from '../PromptCall'

/**
 * Placement policy with rendezvous hashing of the prefix and bounded load. The last prompt part that a call can share
 * with others, which is the last but one of its parts, determines the order of the engines. The policy chooses the
 * first engine whose load is below `loadBound` times the mean load (at least 1), or the first of the order if no engine
 * is below it.
 */
export function createHashPolicy (actions: PlacementActions, { engines, loadBound }: { engines: number, loadBound: number }): { accept: (call: PromptCall) => void, handleFirstEvent: () => void, handleEnd: (call: PromptCall) => void } {
  const order = new RendezvousOrder()
  const ids = Array.from({ length: engines }, (_, i) => String(i))
  const loads = new Array<number>(engines).fill(0)
  const engineByCall = new Map<string, number>()
  return {
    accept: call => {
      const ranks = order.computeRanks(call.parts[Math.max(0, call.parts.length - 2)].id, ids)
      const ordered = [...ranks].sort((a, b) => a[1] - b[1]).map(([id]) => Number(id))
      const mean = loads.reduce((sum, load) => sum + load, 0) / engines
      const engine = ordered.find(index => loads[index] < loadBound * Math.max(1, mean)) ?? ordered[0]
      loads[engine]++
      engineByCall.set(call.id, engine)
      actions.send(call, engine)
    },
    handleFirstEvent: () => {},
    handleEnd: call => { loads[engineByCall.get(call.id)!]-- }
  }
}
