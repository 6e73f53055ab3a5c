import type { HeaderCodec } from '../../contract/HeaderCodec'
import type { TargetEntry } from '../../contract/TargetEntry'
import type { FleetRetryBudget } from '../../routing/FleetRetryBudget'
import type { RouteTable } from '../../routing/RouteTable'
import type { TargetLoads } from '../../routing/TargetLoads'
import type { Metrics } from '../../telemetry/Metrics'
import type { PartLogger } from '../../telemetry/PartLogger'
import type { Tracer } from '../../telemetry/Tracer'
import type { PlacementClient } from '../PlacementClient'
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
  codec: HeaderCodec
  getTable: () => RouteTable | undefined
  zone: string
  /** The targets that are not draining, by id. */
  findTarget: (id: string) => TargetEntry | undefined
  /** Places prompts at engines. */
  placements: PlacementClient
  /** Places calls to other services. */
  placer: Placer
  loads: TargetLoads
  /** Whether this router has more calls than processor time at this moment. */
  isShedding: () => boolean
  connections: TargetConnections
  budget: FleetRetryBudget
  logger: PartLogger
  metrics: Metrics
  tracer: Tracer
}
