import { connect, createServer, type AddressInfo } from 'node:net'
import { LinkClient } from '.'
import { blockEventLoop } from '../../../test/_lib/blockEventLoop'
import { AppError } from '../../contract/AppError'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import type { Link } from '../Link'
import { LinkServer } from '../LinkServer'
import type { MessageHandlers } from '../MessageHandlers'

const KEY = 'a-shared-cluster-key'
const identity = (instance: string): LinkIdentity => ({ instance, incarnation: `${instance}-1`, zone: 'z', role: 'router' })

async function startPair (handlers: MessageHandlers, clientKey = KEY) {
  const errors: AppError[] = []
  const server = new LinkServer({ identity: identity('s'), clusterKey: KEY, handlers, onError: error => errors.push(error) })
  const address = await server.listen({ host: '127.0.0.1', port: 0 })
  let client: LinkClient | undefined
  const linked = new Promise<Link>(resolve => {
    client = new LinkClient(address, { identity: identity('c'), clusterKey: clientKey, handlers: new Map(), onLink: resolve })
  })
  return { server, address, client: client!, linked, errors }
}

async function waitFor (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

describe('LinkClient and LinkServer', () => {
  it('matches replies to requests that end out of order, so that no reply reaches the wrong request', async () => {
    const handlers: MessageHandlers = new Map([['echo', async (body: unknown) => {
      const { delayMs, value } = body as { delayMs: number, value: number }
      await new Promise(resolve => setTimeout(resolve, delayMs))
      return value
    }]])
    const { server, client, linked } = await startPair(handlers)
    const link = await linked
    expect(link.peer.instance).toBe('s')
    const values = await Promise.all([30, 0, 15].map((delayMs, value) => client.request('echo', { delayMs, value })))
    expect(values).toEqual([0, 1, 2])
    client.close()
    await server.close()
  })

  it('replies with the kind of a handler error and refuses unknown message types', async () => {
    const { server, client, linked } = await startPair(new Map([['fail', () => { throw new AppError('not-leader', 'c2 leads.') }]]))
    await linked
    await expect(client.request('fail', null)).rejects.toMatchObject({ kind: 'not-leader' })
    await expect(client.request('missing', null)).rejects.toMatchObject({ kind: 'not-found' })
    client.close()
    await server.close()
  })

  // Guards against a stalled process that takes its peers for silent: after a stall, timers run before the sockets are
  // read, so a request timed out although its reply had arrived.
  it('accepts a reply that arrived while the event loop was busy, although the time limit has passed', async () => {
    const timeoutMs = 30
    const stall = (): string => {
      blockEventLoop(5 * timeoutMs)
      return 'done'
    }
    const { server, client, linked } = await startPair(new Map([['stall', stall]]))
    await linked
    await expect(client.request('stall', null, { timeoutMs })).resolves.toBe('done')
    client.close()
    await server.close()
  })

  // Guards against a busy process that never reconnects: when an iteration of its event loop takes longer than the limit
  // for connecting, each connection was destroyed before the process read that it had been accepted.
  it('keeps a connection that was accepted while the event loop was busy, although the time limit has passed', async () => {
    let connections = 0
    const server = createServer(socket => {
      connections++
      socket.resume().on('error', () => {})
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
    const { port } = server.address() as AddressInfo
    const client = new LinkClient({ host: '127.0.0.1', port }, { identity: identity('c'), clusterKey: KEY, handlers: new Map() })
    blockEventLoop(1_200)
    await waitFor(() => connections > 0)
    await new Promise(resolve => setTimeout(resolve, 300))
    expect(connections).toBe(1)
    client.close()
    await new Promise<void>(resolve => server.close(() => resolve()))
  })

  it('reports outcome unknown for a request without a reply, because the peer may have handled it', async () => {
    const { server, client, linked } = await startPair(new Map([['hang', () => new Promise(() => {})]]))
    await linked
    await expect(client.request('hang', null, { timeoutMs: 20 })).rejects.toMatchObject({ kind: 'control-unavailable', outcome: 'unknown' })
    const pending = client.request('hang', null)
    client.link?.close()
    await expect(pending).rejects.toMatchObject({ outcome: 'unknown' })
    client.close()
    await server.close()
  })

  it('refuses a peer with another cluster key', async () => {
    const { server, client, errors } = await startPair(new Map(), 'another-cluster-key')
    await waitFor(() => errors.length > 0)
    expect(errors[0].kind).toBe('cluster-key-mismatch')
    await expect(client.request('x', null)).rejects.toMatchObject({ kind: 'control-unavailable', outcome: 'not-run' })
    client.close()
    await server.close()
  })

  it.each([
    ['bytes of another protocol', Buffer.from('GET / HTTP/1.1\r\n\r\n'), 'version-mismatch'],
    ['a truncated frame', Buffer.from([0, 0, 0, 9, 1, 1]), 'frame-invalid'],
    ['a frame over the limit', Buffer.from([255, 255, 255, 255, 1]), 'frame-too-large']
  ])('closes a connection that sends %s and goes on serving others', async (_case, bytes, kind) => {
    const { server, address, client, linked, errors } = await startPair(new Map([['ping', () => 'pong']]))
    await linked
    const socket = connect(address)
    socket.on('error', () => {})
    socket.end(bytes)
    await waitFor(() => errors.length > 0)
    expect(errors[0].kind).toBe(kind)
    await expect(client.request('ping', null)).resolves.toBe('pong')
    socket.destroy()
    client.close()
    await server.close()
  })
})
