import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import { GracefulShutdown } from '.'

const LAME_DUCK_MS = 50

describe('GracefulShutdown', () => {
  // Guards against callers that find a closed port: a router that stops closed its listener and ran on for seconds, while
  // the load balancer sent callers to all routers of the zone, because few of them were ready.
  it('refuses new calls after the lame-duck period, and accepts their connections while calls run', async () => {
    const running: ServerResponse[] = []
    const log = (): void => {}
    const shutdown = new GracefulShutdown({ lameDuckMs: LAME_DUCK_MS, stopTimeoutMs: 20_000, countKeyedCalls: () => 0, readCallId: () => '', logger: { error: log, warn: log, info: log, debug: log }, interruptCalls: () => {} })
    const server = createServer((_request, response) => {
      if (shutdown.isRefusing) response.writeHead(503).end()
      else running.push(response)
    })
    shutdown.watch(server)
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`
    const first = request(url)
    while (running.length === 0) await wait(5)
    const stopped = shutdown.close()
    while (!shutdown.isRefusing) await wait(5)
    for (let i = 0; i < 3; i++) {
      const { statusCode, headers } = await request(url)
      expect([statusCode, headers.connection]).toEqual([503, 'close'])
      await wait(LAME_DUCK_MS)
    }
    running[0].end('answer')
    expect((await first).statusCode).toBe(200)
    await stopped
    await expect(request(url)).rejects.toThrow('ECONNREFUSED')
  })
})
