import { mkdtempSync, readFileSync } from 'node:fs'
import { createServer, type IncomingHttpHeaders, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startFleet } from './_lib/startFleet'
import { waitFor } from './_lib/waitFor'

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
const SPAN_ID = 'b7ad6b7169203331'

interface Span { name: string, traceId: string, spanId: string, parentSpanId?: string, attributes: Record<string, unknown>, durationUs: number }

describe('telemetry of a fleet', () => {
  const traceFile = join(mkdtempSync(join(tmpdir(), 'papayalead-trace-')), 'spans.jsonl')
  const received: IncomingHttpHeaders[] = []
  let fleet: Awaited<ReturnType<typeof startFleet>>
  let target: Server
  beforeAll(async () => {
    target = createServer((request, response) => {
      // GET requests are polls of health and load.
      if (request.method === 'POST') received.push(request.headers)
      response.end('{}')
    }).listen(0, '127.0.0.1')
    await new Promise(resolve => target.once('listening', resolve))
    const url = `http://127.0.0.1:${(target.address() as AddressInfo).port}`
    const settings = { '/teams/t/services/plain': { kind: 'http' }, '/teams/t/targets/p1': { service: 'plain', zone: 'z1', url, slots: 2 } }
    fleet = await startFleet({ accounts: { a: {} }, settings, router: { traceFile }, hasProxies: false })
  })
  afterAll(async () => {
    await fleet.stop()
    target.closeAllConnections()
    target.close()
  })

  const call = (headers: Record<string, string>, path = '/services/plain/x') => fetch(fleet.routers[0].url + path, { method: 'POST', body: '{}', headers: { authorization: 'Bearer key-a', ...headers } })
  const readSpans = (): Span[] => readFileSync(traceFile, 'utf8').split('\n').filter(Boolean).map(line => JSON.parse(line))

  it('continues the trace of the caller to the target, with a span for each hop, so that a slow request can be explained', async () => {
    const response = await call({ traceparent: `00-${TRACE_ID}-${SPAN_ID}-01`, 'x-request-id': 'order-17', 'idempotency-key': 'k1' })
    await response.text()
    expect([response.status, response.headers.get('x-request-id')]).toEqual([200, 'order-17'])
    const spans = await waitFor('the spans', () => {
      const found = readSpans().filter(span => span.traceId === TRACE_ID)
      return found.some(({ name }) => name === 'request') && found
    })
    const request = spans.find(({ name }) => name === 'request')!
    expect(request).toMatchObject({ parentSpanId: SPAN_ID, attributes: { 'papayalead.request_id': 'order-17', 'papayalead.account': 'a', 'papayalead.service': 'plain', 'papayalead.outcome': 'complete' } })
    const hops = spans.filter(span => span !== request)
    expect(hops.map(({ name }) => name).sort()).toEqual(['claim', 'dispatch', 'queue', 'stream'])
    for (const hop of hops) expect(hop.parentSpanId).toBe(request.spanId)
    expect(received.at(-1)).toMatchObject({ 'x-request-id': expect.stringMatching(/^order-17\.[0-9a-f]{16}$/), traceparent: `00-${TRACE_ID}-${request.spanId}-01` })
  })

  it('respects the sampling flag of the caller, and generates a request id in place of one that could forge log lines', async () => {
    const response = await call({ traceparent: `00-${'a'.repeat(32)}-${SPAN_ID}-00`, 'x-request-id': 'a b"c' })
    await response.text()
    expect(response.headers.get('x-request-id')).toMatch(/^[0-9a-f-]{36}$/)
    expect(received.at(-1)?.traceparent).toMatch(/^00-a{32}-[0-9a-f]{16}-00$/)
    await call({ traceparent: `00-${'b'.repeat(32)}-${SPAN_ID}-01` }).then(next => next.text())
    await waitFor('a later span', () => readSpans().some(span => span.traceId === 'b'.repeat(32)))
    expect(readSpans().filter(span => span.traceId === 'a'.repeat(32))).toEqual([])
  })

  it('counts requests by service and outcome on the router, and exports the log offset on routers and control replicas, so that alerts can be built', async () => {
    await (await call({}, '/services/none/x')).text()
    const fetchText = async (url: string): Promise<string> => (await fetch(`${url}/metrics`)).text()
    const router = await waitFor('the counter', async () => {
      const text = await fetchText(fleet.routers[0].url)
      return text.includes('kind="unknown-service"') && text
    })
    expect(router).toMatch(/papayalead_requests_total\{service="plain",outcome="complete",kind="none",instance="r1",zone="z1"\} [1-9]/)
    for (const name of ['queue_length', 'running', 'wait_seconds_bucket', 'response_seconds_bucket', 'link_bytes_total', 'log_offset']) expect(router).toMatch(new RegExp(`papayalead_${name}\\{.*\\} \\d`))
    expect(router).not.toContain('service="none",outcome="complete"')
    expect(await fetchText(fleet.controls[0].url)).toMatch(/papayalead_log_offset\{group="settings",.*\} [1-9]/)
  })

  it('answers healthz and readyz with 200 in a running fleet, and readyz with 503 on a router without settings, so that a load balancer sends it no requests', async () => {
    for (const { url } of [...fleet.routers, ...fleet.controls]) {
      expect([(await fetch(`${url}/healthz`)).status, (await fetch(`${url}/readyz`)).status]).toEqual([200, 200])
    }
    const isolated = await startFleet({ hasProxies: false, router: { control: [] } })
    expect((await fetch(`${isolated.routers[0].url}/readyz`)).status).toBe(503)
    await isolated.stop()
  })
})
