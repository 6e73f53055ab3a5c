import type { MessageHandler } from '../MessageHandler'

/**
 * @name MessageHandlers
 * @category Link
 * @summary Handlers of the messages that a peer sends, by message type.
 *
 * @description
 * The value that a handler returns, or that its promise resolves to, is the reply to a request; for a one-way message
 * it is ignored. An error that the handler throws is the reply instead: an AppError with its kind, message, outcome and
 * details; any other error is converted to an AppError.
 *
 * @example
 * const handlers: MessageHandlers = new Map([['ping', () => 'pong']])
 */
export type MessageHandlers = ReadonlyMap<string, MessageHandler>
