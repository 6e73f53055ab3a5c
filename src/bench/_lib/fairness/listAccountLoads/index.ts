import type { AccountLoad } from '../AccountLoad'

const ROUTERS = 9

/** Most requests enter at one router, the rest at the others. */
function createSpread (router: number, share: number): number[] {
  return Array.from({ length: ROUTERS }, (_, index) => index === router ? share : (1 - share) / (ROUTERS - 1))
}

/** 16 accounts, of which 3 are large and always backlogged, 5 have bursts, and 8 are small. Each prefers one router. */
export function listAccountLoads (): AccountLoad[] {
  const base = { ratePerS: 0, queued: 0, hintFactor: 1, fromMs: 0, untilMs: Infinity }
  const large = [0, 4, 8].map((router, index): AccountLoad =>
    ({ ...base, name: `large-${index + 1}`, queued: 60, minCost: 100, maxCost: 1_000, spread: createSpread(router, index === 2 ? 1 : 0.8) }))
  const medium = [1, 2, 3, 5, 6].map((router, index): AccountLoad =>
    ({ ...base, name: `medium-${index + 1}`, ratePerS: 0.3, minCost: 50, maxCost: 600, spread: createSpread(router, 0.6) }))
  const small = Array.from({ length: 8 }, (_, index): AccountLoad =>
    ({ ...base, name: `small-${index + 1}`, ratePerS: 0.2, minCost: 10, maxCost: 100, spread: createSpread((index * 5 + 7) % ROUTERS, 0.5) }))
  return [...large, ...medium, ...small]
}
