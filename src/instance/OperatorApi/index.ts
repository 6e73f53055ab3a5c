import { AppError } from '../../contract/AppError'
import type { OperatorReply } from '../../contract/OperatorReply'
import type { OperatorRequest } from '../../contract/OperatorRequest'
import type { OperatorCall } from '../_lib/OperatorCall'
import { findOperator } from '../findOperator'
import { operatorRoutes } from '../operatorRoutes'

interface OperatorApiOptions extends Omit<OperatorCall, 'operator' | 'request'> {
  bootstrapToken?: string
}

/**
 * @name OperatorApi
 * @category Instance
 * @summary Handles requests of operators, independently of the transport.
 *
 * @description
 * Every control replica serves every request: a follower confirms with the leader that its copy is up to date before it
 * reads, and its log forwards changes to the leader. Reads are therefore never stale, and a revoked token is refused. A
 * read with `consistency=local` is answered from this replica's copy, even while no leader is known.
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
   * @throws AppError whose kind is sent to the caller.
   */
  async handle (request: OperatorRequest): Promise<OperatorReply> {
    const route = operatorRoutes.find(({ method, path }) => method === request.method && path === request.path)
    if (!route) throw new AppError('not-found', 'No such path.')
    const isLocal = request.method === 'GET' && request.query.consistency === 'local'
    if (!isLocal) await this.#options.getLog().confirmRead()
    const operator = findOperator(request.token, this.#options)
    return { status: 200, body: await route.run({ ...this.#options, operator, request }) }
  }
}
