type LogMethod = (message: string, fields?: Record<string, unknown>) => void

/**
 * @name ComponentLogger
 * @category Telemetry
 * @summary Logger of one component of a process; adds the name of the component to each message as a prefix.
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
