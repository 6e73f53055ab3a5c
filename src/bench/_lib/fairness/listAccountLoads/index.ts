import type { AccountLoad } from '../AccountLoad'

const ROUTERS = 9

/** Sends the given share of the requests to one router and the rest evenly to the others. */
function createRouterShares (router: number, share: number): number[] {
  return Array.from({ length: ROUTERS }, (_, index) => index === router ? share : (1 - share) / (ROUTERS - 1))
}

/**
 * Lists 16 accounts: 3 large ones that are always backlogged, and 5 medium and 8 small ones with Poisson arrivals.
 * Each prefers one router.
 */
export function listAccountLoads (): AccountLoad[] {
  const base = { ratePerS: 0, queued: 0, hintFactor: 1, fromMs: 0, untilMs: Infinity }
  const large = [0, 4, 8].map((router, index): AccountLoad =>
    ({ ...base, name: `large-${index + 1}`, queued: 60, minCost: 100, maxCost: 1_000, routerShares: createRouterShares(router, index === 2 ? 1 : 0.8) }))
  const medium = [1, 2, 3, 5, 6].map((router, index): AccountLoad =>
    ({ ...base, name: `medium-${index + 1}`, ratePerS: 0.3, minCost: 50, maxCost: 600, routerShares: createRouterShares(router, 0.6) }))
  const small = Array.from({ length: 8 }, (_, index): AccountLoad =>
    ({ ...base, name: `small-${index + 1}`, ratePerS: 0.2, minCost: 10, maxCost: 100, routerShares: createRouterShares((index * 5 + 7) % ROUTERS, 0.5) }))
  return [...large, ...medium, ...small]
}
