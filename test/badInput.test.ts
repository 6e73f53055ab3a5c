import { connect } from 'node:net'
import { text } from 'node:stream/consumers'
import { runCommand } from './_lib/runCommand'
import { startFleet } from './_lib/startFleet'
import { waitFor } from './_lib/waitFor'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const KEY = 'authorization: Bearer key-a'
const MAX_BODY_BYTES = 64 * 1024

describe('bad input', () => {
  let fleet: Awaited<ReturnType<typeof startFleet>>
  beforeAll(async () => {
    fleet = await startFleet({
      engines: [{ name: 'e1', zone: 'z1', service: 'llama' }],
      bookings: [{ name: 'b1', zone: 'z1', service: 'booking' }],
      accounts: { a: {}, limited: { services: ['llama'] } },
      router: { maxBodyBytes: MAX_BODY_BYTES },
      hasProxies: false
    })
  })
  afterAll(() => fleet.stop())

  const send = async (url: string, bytes: string): Promise<string> => {
    const socket = connect(Number(new URL(url).port), '127.0.0.1')
    socket.on('error', () => {})
    socket.write(bytes)
    return await text(socket).catch(() => '')
  }
  const createRequest = (line: string, headers: string[], body = ''): string => {
    return [`${line} HTTP/1.1`, 'host: x', 'connection: close', ...headers, `content-length: ${Buffer.byteLength(body)}`, '', body].join('\r\n')
  }
  const post = (path: string, body: string, key = KEY): string => createRequest(`POST ${path}`, [key], body)
  const completion = JSON.stringify({ model: 'llama', max_tokens: 2 })
  const getStatus = async (): Promise<any> => (await fetch(`${fleet.controls[0].url}/v1/status`, { headers: { authorization: `Bearer ${fleet.token}` } })).json()
  const countChanges = async (): Promise<number> => {
    const response = await fetch(`${fleet.controls[0].url}/v1/history`, { headers: { authorization: `Bearer ${fleet.token}` } })
    return (await response.json() as { changes: unknown[] }).changes.length
  }
  const assertServing = async (): Promise<void> => {
    const responses = await Promise.all([send(fleet.routers[0].url, post('/v1/completions', completion)), send(fleet.controls[0].url, createRequest('GET /v1/status', [`authorization: Bearer ${fleet.token}`]))])
    for (const response of responses) expect(response).toMatch(/^HTTP\/1.1 200/)
  }

  it.each([
    ['an oversize body', post('/v1/completions', 'x'.repeat(MAX_BODY_BYTES + 1)), 413, 'body-too-large'],
    ['an oversize body in chunks', `POST /v1/completions HTTP/1.1\r\nhost: x\r\n${KEY}\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n${(MAX_BODY_BYTES + 1).toString(16)}\r\n${'x'.repeat(MAX_BODY_BYTES + 1)}\r\n0\r\n\r\n`, 413, 'body-too-large'],
    ['oversize headers', createRequest('GET /services/booking/record', [KEY, `x-large: ${'x'.repeat(20_000)}`]), 431, 'headers-too-large'],
    ['bytes that are not HTTP', 'hello\r\n\r\n', 400, 'bad-request'],
    ['malformed JSON', post('/v1/completions', '{"model":'), 400, 'bad-request'],
    ['JSON of another form', post('/v1/completions', '[]'), 400, 'bad-request'],
    ['JSON without a model', post('/v1/completions', '{}'), 400, 'bad-request'],
    ['no key', createRequest('POST /v1/completions', [], completion), 401, 'unauthenticated'],
    ['a wrong key', post('/v1/completions', completion, 'authorization: Bearer none'), 401, 'unauthenticated'],
    ['another scheme than a bearer key', post('/v1/completions', completion, 'authorization: Basic a2V5'), 401, 'unauthenticated'],
    ['an unknown path', createRequest('GET /v2/completions', [KEY]), 404, 'not-found'],
    ['a malformed escape in the path', createRequest('GET /services/%zz/x', [KEY]), 404, 'unknown-service'],
    ['an unknown service', post('/services/none/x', '{}'), 404, 'unknown-service'],
    ['an unknown model', post('/v1/completions', '{"model":"none"}'), 404, 'unknown-service'],
    ['a forbidden service', post('/services/booking/bookings', '{}', 'authorization: Bearer key-limited'), 403, 'forbidden'],
    ['an idempotency key that is too long', createRequest('POST /services/booking/bookings', [KEY, `idempotency-key: ${'k'.repeat(300)}`], '{}'), 400, 'bad-request']
  ])('the router refuses %s as not run with the documented error kind and continues to serve', async (_name, bytes, status, kind) => {
    const response = await send(fleet.routers[0].url, bytes)
    const [head, body] = response.split('\r\n\r\n')
    expect([head.split('\r\n')[0].split(' ')[1], JSON.parse(body.slice(body.indexOf('{'), body.lastIndexOf('}') + 1)).error]).toEqual([String(status), expect.objectContaining({ kind, outcome: 'not-run' })])
    expect(head).toContain('papayalead-outcome: not-run')
    await assertServing()
    const record = await send(fleet.bookings[0].url, createRequest('GET /record', []))
    expect(record.endsWith('\r\n\r\n[]')).toBe(true)
  })

  it.each([
    ['malformed JSON', 'POST /v1/changes', '{', 400, 'bad-request'],
    ['a change without operations', 'POST /v1/changes', '{"operations":[]}', 400, 'bad-request'],
    ['a path that no setting has', 'POST /v1/changes', '{"operations":[{"path":"/teams/t/speed/x","value":1}]}', 422, 'invalid-settings'],
    ['a path outside of the tree', 'POST /v1/changes', '{"operations":[{"path":"/x","value":1}]}', 422, 'invalid-settings'],
    ['a value with an unknown key', 'POST /v1/changes', '{"operations":[{"path":"/teams/t/services/x","value":{"kind":"http","speed":1}}]}', 422, 'invalid-settings'],
    ['an oversize body', 'POST /v1/changes', 'x'.repeat(4 * 1024 * 1024 + 1), 413, 'body-too-large'],
    ['an unknown path', 'GET /v1/none', '', 404, 'not-found'],
    ['a setting outside of the tree', 'GET /v1/setting?path=x', '', 404, 'not-found'],
    ['a limit that is no number', 'GET /v1/history?limit=x', '', 400, 'bad-request'],
    ['a backup of another form', 'POST /v1/restore', '{"backup":{}}', 400, 'bad-request']
  ])('control refuses %s with the documented error kind, changes nothing and continues to serve', async (_name, line, body, status, kind) => {
    const before = await countChanges()
    const response = await send(fleet.controls[0].url, createRequest(line, [`authorization: Bearer ${fleet.token}`], body))
    expect([response.split(' ')[1], JSON.parse(response.split('\r\n\r\n')[1]).error]).toEqual([String(status), expect.objectContaining({ kind, outcome: 'not-run' })])
    expect(await countChanges()).toBe(before)
    await assertServing()
  })

  it('survives callers that disconnect while they send, wait or read, and is not blocked by slow ones', async () => {
    const { port } = new URL(fleet.routers[0].url)
    const slow = connect(Number(port), '127.0.0.1')
    slow.write(`POST /v1/completions HTTP/1.1\r\nhost: x\r\n${KEY}\r\ncontent-length: 100\r\n\r\n{"mod`)
    const long = JSON.stringify({ model: 'llama', stream: true, max_tokens: 100_000 })
    const connectAndDisconnect = async (bytes: string, isReading: boolean): Promise<void> => {
      const socket = connect(Number(port), '127.0.0.1')
      socket.write(bytes)
      await new Promise(resolve => socket.once(isReading ? 'data' : 'connect', resolve))
      socket.destroy()
    }
    await Promise.all([connectAndDisconnect('POST /v1/comp', false), connectAndDisconnect(post('/v1/completions', long).slice(0, 100), false), connectAndDisconnect(post('/v1/completions', long), true)])
    await assertServing()
    await waitFor('the end of abandoned work', async () => (await getStatus()).targets.every((target: { running: number }) => target.running === 0))
    slow.destroy()
  })

  it.each([
    ['a syntax error', '{\n "instance": "r1",,\n}', /:2: file: /],
    ['an unknown key', '{ "instance": "r1", "zone": "z", "http": {"host":"127.0.0.1","port":0},\n"link": {"host":"127.0.0.1","port":0}, "clusterKey": "0123456789abcdef", "control": [],\n"speed": 1 }', /:3: speed: Unrecognized key/],
    ['a wrong type', '{ "instance": "r1", "zone": "z",\n"http": {"host":"127.0.0.1",\n"port":"x"} }', /:3: http\.port: Invalid input: expected number/],
    ['a missing key', '{}', /:1: instance: Invalid input: expected string/]
  ])('a router with %s in its settings file exits with file, line, path and what was expected', async (_name, content, reason) => {
    const file = join(mkdtempSync(join(tmpdir(), 'papayalead-')), 'router.jsonc')
    writeFileSync(file, content)
    const { exitCode, stderr } = await runCommand(['router', '--config', file])
    expect([exitCode, stderr]).toEqual([2, expect.stringMatching(reason)])
    expect(stderr).toContain(file)
  })
})
