import winston from 'winston'
import type { LogRateLimiter } from '../LogRateLimiter'
import { removeSecrets } from '../removeSecrets'

interface CreateLoggerOptions {
  instance: string
  level: 'error' | 'warn' | 'info' | 'debug'
  /** Defaults to standard error. */
  stream?: NodeJS.WritableStream
  /** Without it, all lines are written. */
  rateLimiter?: LogRateLimiter
}

/** Property of a line in which winston's formats leave the rendered text. */
const RENDERED_LINE = Symbol.for('message')

/** Drops a line that exceeds the rate limit. The next written line has the number of dropped lines as a field. */
function filterLine (info: winston.Logform.TransformableInfo, rateLimiter: LogRateLimiter | undefined): winston.Logform.TransformableInfo | false {
  if (!rateLimiter) return info
  if (!rateLimiter.tryTake(info.level, performance.now())) return false
  const linesLeftOut = rateLimiter.takeRefusedCount()
  return linesLeftOut > 0 ? Object.assign(info, { linesLeftOut }) : info
}

/** Renders the line where winston's transports read it: a chain of winston's own formats takes three times as long. */
function renderLine (info: winston.Logform.TransformableInfo): winston.Logform.TransformableInfo {
  info[RENDERED_LINE] = JSON.stringify(removeSecrets({ timestamp: new Date().toISOString(), ...info }))
  return info
}

/**
 * @name createLogger
 * @category Telemetry
 * @summary Creates a logger that writes JSON lines.
 *
 * @description
 * Each line has `timestamp`, `level`, `instance` and `message`. Modules use `createComponentLogger` to derive a logger
 * that adds their prefix to each message. Values of secret fields are replaced.
 *
 * @param options - Name of the instance, the lowest level to write, stream and rate limiter.
 * @returns The logger.
 *
 * @example
 * createLogger({ instance: 'r1', level: 'info' }).info('[router] Started.', { port: 8080 })
 */
export function createLogger (options: CreateLoggerOptions): winston.Logger {
  return winston.createLogger({
    level: options.level,
    defaultMeta: { instance: options.instance },
    format: winston.format(info => {
      const line = filterLine(info, options.rateLimiter)
      return line && renderLine(line)
    })(),
    transports: [new winston.transports.Stream({ stream: options.stream ?? process.stderr })]
  })
}
