import { Writable } from 'node:stream'
import { LogRateLimiter } from '../LogRateLimiter'
import { createLogger } from '.'

describe('createLogger', () => {
  // Guards against dropping lines without saying so, and against dropping warnings because of other lines.
  it('drops lines above the rate limit, keeps warnings, and logs how many lines were dropped', async () => {
    const lines: Array<Record<string, unknown>> = []
    const stream = new Writable({ write: (chunk, _encoding, done) => { lines.push(JSON.parse(chunk)); done() } })
    const logger = createLogger({ instance: 'r1', level: 'info', stream, rateLimiter: new LogRateLimiter({ maxLinesPerS: 3 }) })
    for (let i = 0; i < 10; i++) logger.info('many', { i })
    logger.warn('rare')
    await new Promise(resolve => setImmediate(resolve))
    expect(lines.map(({ message, i, linesLeftOut }) => [message, i, linesLeftOut])).toEqual([['many', 0, undefined], ['many', 1, undefined], ['many', 2, undefined], ['rare', undefined, 7]])
  })
})
