import type { Route } from '../../contract/Route'

/**
 * @name chooseService
 * @category Routing
 * @summary Chooses one service of a route at random, by the weights of its traffic split.
 *
 * @param split - Services with their weights, at least one of which is above 0.
 * @param random - Number in [0, 1).
 * @returns Name of the service.
 *
 * @example
 * chooseService([{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }], 0.95) // 'b'
 */
export function chooseService (split: Route['split'], random: number): string {
  const total = split.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random * total
  const chosen = split.find(({ weight }) => {
    remaining -= weight
    return remaining < 0
  })
  return (chosen ?? split.findLast(({ weight }) => weight > 0) ?? split[0]).service
}
