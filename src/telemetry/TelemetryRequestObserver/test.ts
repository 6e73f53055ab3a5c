import { TelemetryRequestObserver } from '.'
import { PrometheusMetrics } from '../PrometheusMetrics'
import { RequestCounts } from '../RequestCounts'
import { noopTracer } from '../noopTracer'

describe('TelemetryRequestObserver', () => {
  it('adds the request id to each line, logs failures at a higher level than refusals, and removes ended requests from the counts', () => {
    const lines: Array<[string, string, unknown]> = []
    const write = (level: string) => (message: string, fields?: Record<string, unknown>) => { lines.push([level, message, fields?.requestId]) }
    const logger = { error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug') }
    const counts = new RequestCounts()
    const observer = new TelemetryRequestObserver({ logger, metrics: new PrometheusMetrics({}), tracer: noopTracer, counts })
    for (const result of [{ status: 200, outcome: 'complete' }, { status: 429, outcome: 'not-run', kind: 'queue-full' }, { status: 502, outcome: 'unknown', kind: 'target-failed' }] as const) {
      const observation = observer.startRequest({ method: 'GET', path: '/x?key=secret', requestId: `id-${result.status}` })
      observation.setCall({ account: 'a', service: 's' })
      observation.logger.info('A step.')
      const hop = observation.startHop('queue')
      expect([...counts.list()]).toEqual([['a', { waiting: 1, running: 0 }]])
      hop.stop()
      hop.stop()
      observation.close(result)
    }
    expect(lines).toEqual([
      ['info', 'A step.', 'id-200'], ['debug', 'Request complete.', 'id-200'],
      ['info', 'A step.', 'id-429'], ['info', 'Request refused.', 'id-429'],
      ['info', 'A step.', 'id-502'], ['warn', 'Request failed.', 'id-502']
    ])
    expect([...counts.list()]).toEqual([])
  })
})
