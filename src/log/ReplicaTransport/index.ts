import type { ReplicaMessage } from '../../contract/ReplicaMessage'

/**
 * @name ReplicaTransport
 * @category Log
 * @summary How a replica reaches the other replicas of its log group.
 *
 * @description
 * `send` may lose, repeat or reorder messages; `message.to` begins with the instance, followed by `:` and the disk
 * incarnation if that is known. `request` asks an instance to propose a command or to confirm a read; it fails with an
 * AppError whose outcome says whether the instance may have handled the request.
 *
 * @example
 * transport.send(message)
 */
export interface ReplicaTransport {
  send: (message: ReplicaMessage) => void
  request: (instance: string, type: 'propose' | 'confirmRead', body: unknown, options: { timeoutMs: number }) => Promise<unknown>
}
