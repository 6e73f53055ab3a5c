type LogMethod = (message: string, fields?: Record<string, unknown>) => void

/**
 * @name ComponentLogger
 * @category Telemetry
 * @summary Logger of one part of a process; the prefix is added to each message.
 *
 * @example
 * const logger: ComponentLogger = createComponentLogger(processLogger, 'router')
 */
export interface ComponentLogger {
  error: LogMethod
  warn: LogMethod
  info: LogMethod
  debug: LogMethod
}
