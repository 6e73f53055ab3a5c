/** Circuits are kept per target and zone, because a target may be unreachable from one zone only. */
export function formatCircuit (target: string, zone: string): string {
  return `${target} ${zone}`
}
