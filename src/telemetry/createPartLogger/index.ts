import type { Logger } from 'winston'
import type { PartLogger } from '../PartLogger'

/**
 * @name createPartLogger
 * @category Telemetry
 * @summary A logger that puts the fixed prefix of a part before each message.
 *
 * @param logger - The logger of the process.
 * @param part - Name of the part, for example `router`.
 * @returns The logger of the part.
 *
 * @example
 * createPartLogger(logger, 'link').warn('Connection closed.', { peer: 'r2' }) // "[link] Connection closed."
 */
export function createPartLogger (logger: Logger, part: string): PartLogger {
  return {
    error: (message, fields) => { logger.error(`[${part}] ${message}`, fields) },
    warn: (message, fields) => { logger.warn(`[${part}] ${message}`, fields) },
    info: (message, fields) => { logger.info(`[${part}] ${message}`, fields) },
    debug: (message, fields) => { logger.debug(`[${part}] ${message}`, fields) }
  }
}
