import { setTimeout as wait } from 'node:timers/promises'
import { TargetPoller } from '.'
import { ZoneScheduler } from '../../../schedule/ZoneScheduler'
import { startHttpServer } from '../../startHttpServer'

const HOST = { host: '127.0.0.1', port: 0 }

async function waitFor (check: () => boolean): Promise<void> {
  for (let tried = 0; tried < 500 && !check(); tried++) await wait(10)
  expect(check()).toBe(true)
}

describe('TargetPoller', () => {
  it('lowers the slot limit of an engine with queued requests and records its cached prefixes; polls each missing endpoint of another target only once and keeps its configured slots', async () => {
    const calls: string[] = []
    const engine = await startHttpServer(HOST, [
      { method: 'get', path: '/load', handler: (_request, response) => { response.end('{"running":4,"waiting":4}') } },
      { method: 'get', path: '/cache-events', handler: (_request, response) => { response.end('{"events":[{"seq":1,"kind":"stored","prefixHash":7}]}') } }
    ])
    const plain = await startHttpServer(HOST, [{ method: 'get', path: '/*', handler: (request, response) => { calls.push(request.url ?? ''); response.writeHead(404).end() } }])
    const scheduler = new ZoneScheduler({ zone: 'z', term: 1, getWeight: () => 1, isTargetOpen: () => true })
    const targets = [{ name: 'e', service: 's', slots: 8 }, { name: 'p', service: 's', slots: 8 }]
    scheduler.setTargets(targets)
    const urls = [engine, plain].map(({ address }) => `http://${address.host}:${address.port}`)
    const poller = new TargetPoller({ listTargets: () => targets.map((target, index) => ({ ...target, url: urls[index] })), getScheduler: () => scheduler, intervalMs: 20 })
    poller.start()
    const pool = scheduler.getPool('s').targets
    await waitFor(() => pool.getLimit('e') < 8 && pool.prefixes.has('e', 7))
    expect(pool.getLimit('p')).toBe(8)
    await waitFor(() => pool.getLimit('e') < 6)
    expect(calls).toHaveLength(2)
    await poller.stop()
    for (const { server } of [engine, plain]) {
      server.close()
      server.closeAllConnections()
    }
  })
})
