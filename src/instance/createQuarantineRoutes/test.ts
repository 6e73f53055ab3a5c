import { AppError } from '../../contract/AppError'
import { startHttpServer } from '../startHttpServer'
import { createQuarantineRoutes } from '.'

async function runServer (registry: Parameters<typeof createQuarantineRoutes>[0], run: (send: (method: string, path: string) => Promise<{ status: number, body: any }>) => Promise<void>) {
  const log = () => {}
  const { address, server } = await startHttpServer({ host: '127.0.0.1', port: 0 }, createQuarantineRoutes(registry, { error: log, warn: log, info: log, debug: log }))
  try {
    await run(async (method, path) => {
      const response = await fetch(`http://127.0.0.1:${address.port}${path}`, { method })
      return { status: response.status, body: await response.json() }
    })
  } finally {
    server.closeAllConnections()
    server.close()
  }
}

describe('createQuarantineRoutes', () => {
  it('lists the suspected parts with the seconds for which they are still blocked, and releases one', async () => {
    const released: object[] = []
    const suspects = [{ service: 's', part: 'a/b 1', crashes: 3, blockedMs: 1_200, targets: ['i-1'] }, { service: 's', part: 'c', crashes: 1, blockedMs: 0, targets: [] }]
    const releasePart = (part: { service: string, part: string }) => released.push(part) > 0 && part.part !== 'c'
    await runServer({ listSuspects: () => suspects, releasePart }, async send => {
      expect(await send('GET', '/quarantine')).toEqual({ status: 200, body: { suspects: [{ service: 's', part: 'a/b 1', crashes: 3, blockedS: 2, targets: ['i-1'] }, { service: 's', part: 'c', crashes: 1, blockedS: 0, targets: [] }] } })
      expect(await send('DELETE', '/quarantine/s/a%2Fb%201')).toEqual({ status: 200, body: { released: { service: 's', part: 'a/b 1' } } })
      expect(released).toEqual([{ service: 's', part: 'a/b 1' }])
      expect(await send('DELETE', '/quarantine/s/c')).toMatchObject({ status: 404, body: { error: { kind: 'not-found' } } })
      expect(await send('DELETE', '/quarantine/s/%E0')).toMatchObject({ status: 400, body: { error: { kind: 'bad-request' } } })
    })
  })

  // Guards against a release that a replica without any say acknowledges, so that the part stays blocked.
  it('refuses with the kind not-leader at a replica that does not lead', async () => {
    const refuse = () => { throw new AppError('not-leader', 'This replica is not the leader.') }
    await runServer({ listSuspects: refuse, releasePart: refuse }, async send => {
      for (const [method, path] of [['GET', '/quarantine'], ['DELETE', '/quarantine/s/p']]) expect(await send(method, path)).toMatchObject({ status: 503, body: { error: { kind: 'not-leader', outcome: 'not-run' } } })
    })
  })
})
