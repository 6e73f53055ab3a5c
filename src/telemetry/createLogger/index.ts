import winston from 'winston'

interface CreateLoggerOptions {
  instance: string
  level: 'error' | 'warn' | 'info' | 'debug'
}

/** Field names whose values never reach a log. */
const SECRET_FIELDS = /key$|token$|secret|authorization|password/i

function removeSecrets (info: winston.Logform.TransformableInfo): winston.Logform.TransformableInfo {
  for (const field of Object.keys(info)) {
    if (SECRET_FIELDS.test(field)) info[field] = '[hidden]'
  }
  return info
}

/**
 * @name createLogger
 * @category Telemetry
 * @summary A logger that writes JSON lines to standard error.
 *
 * @description
 * Each line has `timestamp`, `level`, `instance`, `message`. Modules derive a child logger with their fixed prefix by
 * `createPartLogger`. Values of fields that hold secrets are replaced.
 *
 * @param options - Name of the instance and the lowest level to write.
 * @returns The logger.
 *
 * @example
 * createLogger({ instance: 'r1', level: 'info' }).info('[router] Started.', { port: 8080 })
 */
export function createLogger (options: CreateLoggerOptions): winston.Logger {
  return winston.createLogger({
    level: options.level,
    defaultMeta: { instance: options.instance },
    format: winston.format.combine(winston.format(removeSecrets)(), winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Stream({ stream: process.stderr })]
  })
}
