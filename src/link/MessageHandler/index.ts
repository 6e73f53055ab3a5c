import type { Link } from '../Link'

/**
 * @name MessageHandler
 * @category Link
 * @summary Handles the messages of one type.
 *
 * @example
 * const handler: MessageHandler = (body, link) => `received from ${link.peer.instance}`
 */
export type MessageHandler = (body: unknown, link: Link) => unknown
