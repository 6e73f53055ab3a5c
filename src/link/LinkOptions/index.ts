import type { AppError } from '../../contract/AppError'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import type { Link } from '../Link'
import type { MessageHandlers } from '../MessageHandlers'

/**
 * @name LinkOptions
 * @category Link
 * @summary What both ends of a link need.
 *
 * @description
 * `identity`: sent to the peer. `clusterKey`: shared secret of the instances. `handlers`: for incoming messages.
 * `onLink`: called with each authenticated link. `onError`: called with errors that close a connection.
 *
 * @example
 * const options: LinkOptions = { identity, clusterKey, handlers: new Map() }
 */
export interface LinkOptions {
  identity: LinkIdentity
  clusterKey: string
  handlers: MessageHandlers
  onLink?: (link: Link) => void
  onError?: (error: AppError) => void
}
