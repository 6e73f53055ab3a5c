import { createHash } from 'node:crypto'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startProcess } from './_lib/startProcess'

const CLUSTER_KEY = 'cluster-key-for-tests'
const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex')

describe('the end-to-end path with separate processes', () => {
  it('serves a streamed completion and a booking after an operator has configured them', async () => {
    const engine = await startProcess(['stand-in', 'engine'])
    const booking = await startProcess(['stand-in', 'booking'])
    const control = await startProcess(['control'], {
      instance: 'c1', zone: 'z1', http: { host: '127.0.0.1', port: 0 }, link: { host: '127.0.0.1', port: 0 }, clusterKey: CLUSTER_KEY, replicas: [], dataDir: mkdtempSync(join(tmpdir(), 'papayalead-data-'))
    })
    const router = await startProcess(['router'], {
      instance: 'r1',
      zone: 'z1',
      http: { host: '127.0.0.1', port: 0 },
      link: { host: '127.0.0.1', port: 0 },
      clusterKey: CLUSTER_KEY,
      lameDuckMs: 0,
      control: [{ instance: 'c1', zone: 'z1', ...control.ready.link }]
    })
    const controlUrl = `http://127.0.0.1:${control.ready.http.port}`
    const settings: Array<[string, object]> = [
      ['/teams/t/accounts/a', { keyHashes: [sha256('key-a')], services: ['*'] }],
      ['/teams/t/services/llama', { kind: 'completion' }],
      ['/teams/t/services/booking', { kind: 'http' }],
      ['/teams/t/targets/e1', { service: 'llama', zone: 'z1', url: `http://127.0.0.1:${engine.ready.http.port}`, slots: 4 }],
      ['/teams/t/targets/b1', { service: 'booking', zone: 'z1', url: `http://127.0.0.1:${booking.ready.http.port}`, slots: 4 }]
    ]
    for (const [path, value] of settings) {
      const set = await startProcess(['set', path, JSON.stringify(value), '--json', '--control', controlUrl])
      expect(await set.exitCode).toBe(0)
    }
    const url = `http://127.0.0.1:${router.ready.http.port}`
    const headers = { authorization: 'Bearer key-a', 'content-type': 'application/json' }
    const post = (path: string, body: object) => fetch(url + path, { method: 'POST', headers, body: JSON.stringify(body) })
    let completion = await post('/v1/completions', { model: 'llama', stream: true, max_tokens: 3 })
    while (completion.status !== 200) completion = await post('/v1/completions', { model: 'llama', stream: true, max_tokens: 3 })
    const text = await completion.text()
    expect(text.match(/token\d/g)).toEqual(['token0', 'token1', 'token2'])
    expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true)
    const booked = await post('/services/booking/bookings', { pool: 7 })
    expect([booked.status, booked.headers.get('papayalead-outcome')]).toEqual([201, 'complete'])
    await Promise.all([router, control, booking, engine].map(process => process.stop()))
    expect(await router.exitCode).toBe(0)
  })
})
