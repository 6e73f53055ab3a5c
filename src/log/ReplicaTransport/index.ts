import type { ReplicaMessage } from '../../contract/ReplicaMessage'

/**
 * @name ReplicaTransport
 * @category Log
 * @summary Transport between a replica and the other replicas of its log group.
 *
 * @example
 * transport.send(message)
 */
export interface ReplicaTransport {
  /**
   * May lose, repeat or reorder messages. `message.to` begins with the instance, followed by `:` and the disk
   * incarnation if that is known.
   */
  send: (message: ReplicaMessage) => void
  /**
   * Asks an instance to propose a command or to confirm a read. Fails with an AppError whose outcome says whether the
   * instance may have handled the request.
   */
  request: (instance: string, type: 'propose' | 'confirmRead', body: unknown, options: { timeoutMs: number }) => Promise<unknown>
}
