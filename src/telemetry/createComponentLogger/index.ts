import type { Logger } from 'winston'
import type { ComponentLogger } from '../ComponentLogger'

/**
 * @name createComponentLogger
 * @category Telemetry
 * @summary A logger that puts the fixed prefix of a part before each message.
 *
 * @param logger - The logger of the process.
 * @param part - Name of the part, for example `router`.
 * @returns The logger of the part.
 *
 * @example
 * createComponentLogger(logger, 'link').warn('Connection closed.', { peer: 'r2' }) // "[link] Connection closed."
 */
export function createComponentLogger (logger: Logger, part: string): ComponentLogger {
  return {
    error: createLogMethod(logger, part, 'error'),
    warn: createLogMethod(logger, part, 'warn'),
    info: createLogMethod(logger, part, 'info'),
    debug: createLogMethod(logger, part, 'debug')
  }
}

/** winston formats a message before it drops it for its level, so the level is checked first. */
function createLogMethod (logger: Logger, part: string, level: keyof ComponentLogger): ComponentLogger['debug'] {
  return (message, fields) => {
    if (logger.isLevelEnabled(level)) logger.log(level, `[${part}] ${message}`, fields)
  }
}
