import type { Logger } from 'winston'
import type { ComponentLogger } from '../ComponentLogger'

/**
 * @name createComponentLogger
 * @category Telemetry
 * @summary Creates a logger that puts the name of a component before each message.
 *
 * @param logger - The logger of the process.
 * @param component - Name of the component, for example `router`.
 * @returns The logger of the component.
 *
 * @example
 * createComponentLogger(logger, 'link').warn('Connection closed.', { peer: 'r2' }) // "[link] Connection closed."
 */
export function createComponentLogger (logger: Logger, component: string): ComponentLogger {
  return {
    error: createLogMethod(logger, component, 'error'),
    warn: createLogMethod(logger, component, 'warn'),
    info: createLogMethod(logger, component, 'info'),
    debug: createLogMethod(logger, component, 'debug')
  }
}

/** Checks the level first, because winston formats a message before it discards it for its level. */
function createLogMethod (logger: Logger, component: string, level: keyof ComponentLogger): ComponentLogger['debug'] {
  return (message, fields) => {
    if (logger.isLevelEnabled(level)) logger.log(level, `[${component}] ${message}`, fields)
  }
}
