import type { HeaderCodec } from '../../contract/HeaderCodec'
import type { TargetEntry } from '../../contract/TargetEntry'
import type { FleetRetryBudget } from '../../routing/FleetRetryBudget'
import type { RouteTable } from '../../routing/RouteTable'
import type { TargetLoads } from '../../routing/TargetLoads'
import type { Metrics } from '../../telemetry/Metrics'
import type { ComponentLogger } from '../../telemetry/ComponentLogger'
import type { Tracer } from '../../telemetry/Tracer'
import type { PlacementClient } from '../PlacementClient'
import type { BufferBudget } from '../BufferBudget'
import type { LeastLoadedSelector } from '../LeastLoadedSelector'
import type { TargetConnections } from '../TargetConnections'
import type { WriteBatcher } from '../WriteBatcher'

/**
 * @name GatewayContext
 * @category Gateway
 * @summary Dependencies that all requests of a router share.
 *
 * @example
 * new GatewayCall(request, response, context, delay).run()
 */
export interface GatewayContext {
  codec: HeaderCodec
  /** The routes in force; undefined until a route document has been received. */
  getTable: () => RouteTable | undefined
  zone: string
  /** Finds a target by its id, if it is not draining. */
  findTarget: (id: string) => TargetEntry | undefined
  /** Places prompts at engines. */
  placements: PlacementClient
  /** Selects the targets of calls to services without engines. */
  selector: LeastLoadedSelector
  loads: TargetLoads
  /** Whether the router stops and must refuse new calls. */
  isRefusing: () => boolean
  connections: TargetConnections
  batcher: WriteBatcher
  bufferBudget: BufferBudget
  retryBudget: FleetRetryBudget
  logger: ComponentLogger
  metrics: Metrics
  tracer: Tracer
}
