import type { CallCodec } from '../../contract/CallCodec'
import type { FleetRetryBudget } from '../../routing/FleetRetryBudget'
import type { RouteTable } from '../../routing/RouteTable'
import type { TargetLoads } from '../../routing/TargetLoads'
import type { Metrics } from '../../telemetry/Metrics'
import type { PartLogger } from '../../telemetry/PartLogger'
import type { Placer } from '../Placer'
import type { TargetConnections } from '../TargetConnections'

/**
 * @name GatewayContext
 * @category Gateway
 * @summary What all requests of a router share.
 *
 * @description
 * `getTable`: the routes in force, undefined until a route document is known.
 *
 * @example
 * new GatewayCall(request, response, context).run()
 */
export interface GatewayContext {
  codec: CallCodec
  getTable: () => RouteTable | undefined
  placer: Placer
  loads: TargetLoads
  connections: TargetConnections
  budget: FleetRetryBudget
  logger: PartLogger
  metrics: Metrics
}
