import type { SettingsTree } from '../../configuration/SettingsTree'
import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import type { ObserverReport } from '../../contract/ObserverReport'
import { OperatorReply } from '../../contract/OperatorReply'
import type { OperatorRequest } from '../../contract/OperatorRequest'
import type { QuorumStatus } from '../../contract/QuorumStatus'
import type { ReplicatedLog } from '../../log/ReplicatedLog'
import { checkOperator } from '../checkOperator'
import type { FleetStatusTable } from '../FleetStatusTable'
import { operatorRoutes } from '../operatorRoutes'

interface OperatorApiOptions {
  instance: string
  tree: SettingsTree
  log: ReplicatedLog
  collectReports: () => Promise<ObserverReport[]>
  fleet: FleetStatusTable
  bootstrapToken?: string
  getQuorum: () => QuorumStatus
  /** Sends a request to the leader's operator API; undefined while no leader is known. */
  forward?: (request: OperatorRequest) => Promise<unknown> | undefined
}

/**
 * @name OperatorApi
 * @category Instance
 * @summary Requests of operators, independent of how they arrive.
 *
 * @description
 * The leader runs a request after it has confirmed its leadership, so that reads are up to date and a revoked token is
 * refused. Another replica forwards it, or refuses it with `not-leader` and the leader's name in the details. A read
 * with `consistency=local` is answered from this replica's copy instead.
 *
 * @param options - Parts of the control process.
 *
 * @example
 * const reply = await api.handle({ method: 'GET', path: '/v1/status', query: {}, token })
 */
export class OperatorApi {
  readonly #options: OperatorApiOptions

  constructor (options: OperatorApiOptions) {
    this.#options = options
  }

  /**
   * @throws AppError of the kind that the caller gets.
   */
  async handle (request: OperatorRequest): Promise<OperatorReply> {
    try {
      return await this.handleForwarded(request)
    } catch (thrown) {
      const error = convertToAppError(thrown)
      if (error.kind !== 'not-leader') throw error
      const reply = await this.#options.forward?.(request)
      if (reply !== undefined) return OperatorReply.parse(reply)
      throw new AppError('not-leader', 'This control replica does not lead.', { details: { leader: this.#options.getQuorum().leader } })
    }
  }

  /** Handles a request that another replica forwarded; it is not forwarded again. */
  async handleForwarded (request: OperatorRequest): Promise<OperatorReply> {
    const route = operatorRoutes.find(({ method, path }) => method === request.method && path === request.path)
    if (!route) throw new AppError('not-found', 'No such path.')
    const isLocal = request.method === 'GET' && request.query.consistency === 'local'
    if (!isLocal) await this.#options.log.confirmRead()
    const operator = checkOperator(request.token, this.#options)
    return { status: 200, body: await route.run({ ...this.#options, operator, request }) }
  }
}
