import type { AppError } from '../../contract/AppError'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import type { Link } from '../Link'
import type { MessageHandlers } from '../MessageHandlers'

/**
 * @name LinkOptions
 * @category Link
 * @summary Options of both ends of a link.
 *
 * @example
 * const options: LinkOptions = { identity, clusterKey, handlers: new Map() }
 */
export interface LinkOptions {
  /** Sent to the peer in the handshake. */
  identity: LinkIdentity
  /** Shared secret of the instances. */
  clusterKey: string
  /** Called for incoming messages. */
  handlers: MessageHandlers
  /** Called with each authenticated link. */
  onLink?: (link: Link) => void
  /** Called with each error that closes a connection. */
  onError?: (error: AppError) => void
}
