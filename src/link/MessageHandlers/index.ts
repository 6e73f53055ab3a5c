import type { MessageHandler } from '../MessageHandler'

/**
 * @name MessageHandlers
 * @category Link
 * @summary What to do with each message type that a peer sends.
 *
 * @description
 * The key is the message type. The value that a handler returns, or that its promise resolves to, is the reply to a
 * request; for a one-way message it is ignored. A thrown AppError reaches the peer with its kind.
 *
 * @example
 * const handlers: MessageHandlers = new Map([['ping', () => 'pong']])
 */
export type MessageHandlers = ReadonlyMap<string, MessageHandler>
