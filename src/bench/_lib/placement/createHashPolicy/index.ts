import { RendezvousOrder } from '../../../../routing/RendezvousOrder'
import type { PlacementActions } from '../PlacementActions'
import type { PromptCall } from '../PromptCall'

/** Prefix hashing with bounded load: the first engine in the order of the shared part whose load is below the bound times the mean. */
export function createHashPolicy (actions: PlacementActions, { engines, bound }: { engines: number, bound: number }): { accept: (call: PromptCall) => void, handleRead: () => void, handleEnd: (call: PromptCall) => void } {
  const order = new RendezvousOrder()
  const ids = Array.from({ length: engines }, (_, i) => String(i))
  const loads = new Array<number>(engines).fill(0)
  const placed = new Map<string, number>()
  return {
    accept: call => {
      const ranks = order.computeRanks(call.parts[Math.max(0, call.parts.length - 2)].id, ids)
      const ordered = [...ranks].sort((a, b) => a[1] - b[1]).map(([id]) => Number(id))
      const mean = loads.reduce((sum, load) => sum + load, 0) / engines
      const engine = ordered.find(index => loads[index] < bound * Math.max(1, mean)) ?? ordered[0]
      loads[engine]++
      placed.set(call.id, engine)
      actions.send(call, engine)
    },
    handleRead: () => {},
    handleEnd: call => { loads[placed.get(call.id)!]-- }
  }
}
