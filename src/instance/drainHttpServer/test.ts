import { setTimeout as wait } from 'node:timers/promises'
import { LifecycleManager } from '../../lifecycle/LifecycleManager'
import { startHttpServer } from '../startHttpServer'
import { drainHttpServer } from '.'

/** Starts a server whose changes are stored after some time, until its storage is closed. */
async function startChangeServer (changeMs: number) {
  const lifecycle = new LifecycleManager()
  let isStorageOpen = true
  lifecycle.register('storage', () => { isStorageOpen = false })
  const { address, server } = await startHttpServer({ host: '127.0.0.1', port: 0 }, [
    {
      method: 'post',
      path: '/change',
      handler: async (_request, response) => {
        await wait(changeMs)
        response.end(isStorageOpen ? 'stored' : 'lost')
      }
    }
  ])
  return { lifecycle, server, url: `http://127.0.0.1:${address.port}/change` }
}

describe('drainHttpServer', () => {
  // Guards against an operator's change under way at a stop that gets no answer, or finds the storage closed.
  it('waits for the responses of requests under way before later components close', async () => {
    const { lifecycle, server, url } = await startChangeServer(200)
    lifecycle.register('HTTP server', () => drainHttpServer(server, { timeoutMs: 10_000 }))
    const change = fetch(url, { method: 'POST' }).then(response => response.text())
    await wait(50)
    await lifecycle.close()
    expect(await change).toBe('stored')
    await expect(fetch(url, { method: 'POST' })).rejects.toThrow('fetch failed')
  })

  // Guards against a stop that one request without an end holds up.
  it('closes the connections of requests that still run at the time limit', async () => {
    const { server, url } = await startChangeServer(60_000)
    const change = fetch(url, { method: 'POST' }).catch(() => 'cut')
    await wait(50)
    await drainHttpServer(server, { timeoutMs: 50 })
    expect(await change).toBe('cut')
  })

  // Guards against a stop that waits for kept connections on which no request runs.
  it('closes idle connections at once', async () => {
    const { server, url } = await startChangeServer(0)
    expect(await fetch(url, { method: 'POST' }).then(response => response.text())).toBe('stored')
    const startedAtMs = performance.now()
    await drainHttpServer(server, { timeoutMs: 10_000 })
    expect(performance.now() - startedAtMs).toBeLessThan(5_000)
  })
})
