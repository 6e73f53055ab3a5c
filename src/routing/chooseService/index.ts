import type { Route } from '../../contract/Route'

/**
 * @name chooseService
 * @category Routing
 * @summary Chooses one service of a route by the weights of its split.
 *
 * @param split - Services with weights, of which at least one is above 0.
 * @param random - Number in [0, 1).
 * @returns Name of the service.
 *
 * @example
 * chooseService([{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }], 0.95) // 'b'
 */
export function chooseService (split: Route['split'], random: number): string {
  const total = split.reduce((sum, { weight }) => sum + weight, 0)
  let rest = random * total
  const chosen = split.find(({ weight }) => {
    rest -= weight
    return rest < 0
  })
  return (chosen ?? split.findLast(({ weight }) => weight > 0) ?? split[0]).service
}
