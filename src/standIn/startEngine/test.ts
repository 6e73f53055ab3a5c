import { once } from 'node:events'
import { request } from 'node:http'
import { EngineSettings } from '../EngineSettings'
import { startEngine } from '.'

async function openEngine (options: object) {
  const engine = await startEngine({ host: '127.0.0.1', port: 0 }, EngineSettings.parse({ firstTokenMs: 1, tokenMs: 1, loadLagMs: 0, ...options }))
  const url = `http://127.0.0.1:${engine.address.port}`
  const get = async (path: string): Promise<any> => await (await fetch(url + path)).json()
  const post = (path: string, body: object, headers = {}) => fetch(url + path, { method: 'POST', body: JSON.stringify(body), headers })
  const waitForRecord = async (check: (requests: Array<{ status: string }>) => boolean) => {
    for (let { requests } = await get('/record'); !check(requests); { requests } = await get('/record')) await new Promise(resolve => setTimeout(resolve, 5))
  }
  return { engine, url, get, post, waitForRecord }
}

const listTokens = (text: string): string[] => text.match(/token\d+-\w+/g) ?? []

describe('the engine stand-in', () => {
  it('generates the same tokens streamed, not streamed, in chat and resumed, so that a resume without a gap can be verified', async () => {
    const { engine, post } = await openEngine({})
    const completion = { model: 'm', prompt: 'Dose pool 7', max_tokens: 6 }
    const plain = listTokens(await (await post('/v1/completions', completion)).text())
    const chat = { ...completion, prompt: undefined, messages: [{ role: 'user', content: 'Dose pool 7' }], stream: true }
    const streamed = await (await post('/v1/chat/completions', chat, { 'x-request-id': 'q1' }))
    const resumed = listTokens(await (await post('/v1/completions', { ...completion, stream: true, resume_from: 2 })).text())
    const other = listTokens(await (await post('/v1/completions', { ...completion, prompt: 'Dose pool 8' })).text())
    expect(plain).toHaveLength(6)
    const text = await streamed.text()
    expect(listTokens(text)).toEqual(plain)
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true)
    expect(streamed.headers.get('x-request-id')).toBe('q1')
    expect(resumed).toEqual(plain.slice(2))
    expect(other[0]).not.toBe(plain[0])
    await engine.close()
  })

  it('runs at most maxBatch requests, reports the others as waiting, and cancels a request whose caller disconnected', async () => {
    const { engine, url, get, post, waitForRecord } = await openEngine({ maxBatch: 1, tokenMs: 5 })
    const first = request(`${url}/v1/completions`, { method: 'POST' })
    first.on('error', () => {})
    first.end(JSON.stringify({ model: 'm', max_tokens: 100_000, stream: true }))
    await once(first, 'response')
    const second = post('/v1/completions', { model: 'm', max_tokens: 1 })
    await waitForRecord(requests => requests.length === 2)
    expect(await get('/load')).toEqual({ running: 1, waiting: 1 })
    first.destroy()
    expect((await second).status).toBe(200)
    await waitForRecord(requests => requests[0].status === 'cancelled')
    await engine.close()
  })

  it('publishes cache events with seeded gaps and evicts beyond the size limit, so that an index of the cache must tolerate both', async () => {
    const { engine, get, post } = await openEngine({ prefixCacheSize: 2, cacheEventLagMs: 0, cacheEventGapRate: 0.3, seed: 3 })
    for (let index = 0; index < 12; index++) await post('/v1/completions', { model: 'm', prompt: `p${index}`, max_tokens: 1 })
    const { events } = await get('/cache-events?after=0')
    const seqs = events.map(({ seq }: { seq: number }) => seq)
    expect(seqs.length).toBeLessThan(22)
    expect(events.some(({ kind }: { kind: string }) => kind === 'evicted')).toBe(true)
    expect((await get(`/cache-events?after=${seqs[0]}`)).events).toEqual(events.slice(1))
    await engine.close()
  })

  it.each([[true, 409], [false, 200]])('with isFencingChecked %s, responds to an old fencing token with status %i', async (isFencingChecked, status) => {
    const { engine, get, post } = await openEngine({ isFencingChecked, commandMs: 0 })
    const action = { kind: 'load-model', name: 'llama', version: '1' }
    expect((await post('/commands', { id: 'a', action, fencingToken: 5 })).status).toBe(200)
    expect((await post('/commands', { id: 'b', action, fencingToken: 4 })).status).toBe(status)
    expect((await get('/record')).commands).toHaveLength(2)
    await engine.close()
  })

  it('truncates streams before [DONE] when configured, so that a router that reports them as complete is detected', async () => {
    const { engine, post } = await openEngine({ truncateRate: 1, truncateBy: 'end' })
    const text = await (await post('/v1/completions', { model: 'm', max_tokens: 5, stream: true })).text()
    expect(text).not.toContain('[DONE]')
    await engine.close()
  })

  // Guards against a stand-in that can't show a query of death: one request whose crash ends the calls beside it.
  it('crashes when it begins to answer a prompt with a crash prefix, and accepts connections again after crashMs', async () => {
    const { engine, url, get, post } = await openEngine({ firstTokenMs: 30, tokenMs: 5, prefixChars: 8 })
    const complete = (prompt: string): Promise<string> => post('/v1/completions', { model: 'm', prompt, max_tokens: 50, stream: true }).then(response => response.text()).catch(() => 'reset')
    const whole = await complete('0 is sound')
    expect(whole).toContain('[DONE]')
    await complete('prefix-0 request 0')
    const crashPrefix = (await get('/record')).requests[1].prefixHash
    await fetch(`${url}/options`, { method: 'PUT', body: JSON.stringify({ crashPrefixes: [crashPrefix], crashMs: 300 }) })
    const sound = complete('1 is sound')
    await new Promise(resolve => setTimeout(resolve, 60))
    const sentAtMs = performance.now()
    expect(await Promise.all([sound, complete('prefix-0 request 1')])).toEqual(['reset', 'reset'])
    // The prefill comes first: the engine crashes as the answer begins, not as the request arrives.
    expect(performance.now() - sentAtMs).toBeGreaterThan(25)
    expect(await complete('2 is sound')).toBe('reset')
    await new Promise(resolve => setTimeout(resolve, 350))
    expect(await complete('3 is sound')).toContain('[DONE]')
    const { requests } = await get('/record')
    expect(requests.map(({ status }: { status: string }) => status)).toEqual(['complete', 'complete', 'cancelled', 'crashed', 'complete'])
    expect(requests.map(({ isPrefixCached }: { isPrefixCached: boolean }) => isPrefixCached)).toEqual([false, false, false, true, false])
    await engine.close()
  })
})
