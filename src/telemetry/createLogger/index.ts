import winston from 'winston'
import type { LogRateLimiter } from '../LogRateLimiter'
import { removeSecrets } from '../removeSecrets'

interface CreateLoggerOptions {
  instance: string
  level: 'error' | 'warn' | 'info' | 'debug'
  /** Standard error if not given. */
  stream?: NodeJS.WritableStream
  /** Without it all lines are written. */
  rateLimiter?: LogRateLimiter
}

/** Drops a line that is over the budget; the next one that isn't tells how many were dropped. */
function filterLine (info: winston.Logform.TransformableInfo, budget: LogRateLimiter | undefined): winston.Logform.TransformableInfo | false {
  if (!budget) return info
  if (!budget.tryTake(info.level, performance.now())) return false
  const linesLeftOut = budget.takeRefused()
  return linesLeftOut > 0 ? Object.assign(info, { linesLeftOut }) : info
}

/** Replaces the fields in place, because winston keeps its own state under symbols of the object. */
function filterFields (info: winston.Logform.TransformableInfo): winston.Logform.TransformableInfo {
  return Object.assign(info, removeSecrets({ ...info }))
}

/**
 * @name createLogger
 * @category Telemetry
 * @summary A logger that writes JSON lines.
 *
 * @description
 * Each line has `timestamp`, `level`, `instance`, `message`. Modules derive a child logger with their fixed prefix by
 * `createComponentLogger`. Values of fields that hold secrets are replaced.
 *
 * @param options - Name of the instance, the lowest level to write, stream and budget.
 * @returns The logger.
 *
 * @example
 * createLogger({ instance: 'r1', level: 'info' }).info('[router] Started.', { port: 8080 })
 */
export function createLogger (options: CreateLoggerOptions): winston.Logger {
  return winston.createLogger({
    level: options.level,
    defaultMeta: { instance: options.instance },
    format: winston.format.combine(winston.format(info => filterLine(info, options.rateLimiter))(), winston.format(filterFields)(), winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Stream({ stream: options.stream ?? process.stderr })]
  })
}
