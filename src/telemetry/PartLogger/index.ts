type LogMethod = (message: string, fields?: Record<string, unknown>) => void

/**
 * @name PartLogger
 * @category Telemetry
 * @summary Logger of one part of a process; the prefix is added to each message.
 *
 * @example
 * const logger: PartLogger = createPartLogger(processLogger, 'router')
 */
export interface PartLogger {
  error: LogMethod
  warn: LogMethod
  info: LogMethod
  debug: LogMethod
}
