import { noopTracer } from '../../telemetry/noopTracer'
import { CallRecord } from '.'

describe('CallRecord', () => {
  // Guards against a failed request whose cause can't be found in the log by its id.
  it('logs one line with the decisions and results of the request', () => {
    const lines: Array<[string, Record<string, unknown> | undefined]> = []
    const log = (message: string, fields?: Record<string, unknown>) => { lines.push([message, fields]) }
    const counts: object[] = []
    const metrics = { observeRequest: (request: object) => { counts.push(request) }, observeWait () {}, observeResponse () {}, observeReadDelay () {}, registerReading () {}, render: async () => '' }
    const record = new CallRecord({ id: '9c41', parts: [], promptTokens: 0, outputTokens: 0, unreadable: ['hint'] }, { tracer: noopTracer, logger: { error: log, warn: log, info: log, debug: log }, metrics }, { readMs: 2_850, iterationMs: 410, busyMs: 900 })
    record.setAdmission({ route: 'r1', account: 'team', service: 's', version: 7 })
    record.addPlacement('t1')
    record.addResult('lost')
    record.addPlacement('t2')
    record.addResult('answered')
    record.close({ outcome: 'complete', status: 200 })
    expect(lines).toHaveLength(1)
    expect(lines[0][1]).toMatchObject({ requestId: '9c41', unreadableHeaders: ['hint'], route: 'r1', account: 'team', version: 7, readMs: 2_850, iterationMs: 410, busyMs: 900, outcome: 'complete', status: 200, attempts: [{ target: 't1', result: 'lost' }, { target: 't2', result: 'answered' }] })
    expect(counts).toEqual([{ service: 's', outcome: 'complete', kind: undefined }])
  })
})
