import { createServer, type AddressInfo, type Socket } from 'node:net'
import { blockEventLoop } from '../../../test/_lib/blockEventLoop'
import { TargetExchange } from '../TargetExchange'
import { TargetConnections } from '.'

interface Outcome { status?: number, body: string, end: 'complete' | 'lost' | 'unsent' }

/** Sends one request to a server that runs a script on each connection. */
async function runExchange (script: (socket: Socket) => void, { requests = 1 } = {}): Promise<Outcome[]> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', () => script(socket))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  const { port } = server.address() as AddressInfo
  const connections = new TargetConnections()
  const outcomes: Outcome[] = []
  for (let i = 0; i < requests; i++) {
    outcomes.push(await new Promise<Outcome>(resolve => {
      const outcome: Outcome = { body: '', end: 'lost' }
      const handler = new TargetExchange({
        onHead: status => { outcome.status = status },
        onData: chunk => { outcome.body += chunk },
        onEnd: () => resolve({ ...outcome, end: 'complete' }),
        onError: (_error, isSent) => resolve({ ...outcome, end: isSent ? 'lost' : 'unsent' })
      })
      connections.dispatch({ host: '127.0.0.1', port }, { limit: 2, request: { method: 'POST', path: '/', headers: ['x-id', '1'], body: 'b' }, handler })
    }))
  }
  await connections.close()
  await new Promise(resolve => server.close(resolve))
  return outcomes
}

const HEAD = 'HTTP/1.1 200 OK\r\n'
/** Time in which the event loop reads nothing, so that the last bytes and what follows them are read together. */
const BLOCKED_MS = 20

describe('TargetConnections', () => {
  // Guards against forwarding a truncated response as if it were complete.
  it.each<[string, (socket: Socket) => void, Outcome['end']]>([
    ['with its length', socket => socket.write(`${HEAD}content-length: 5\r\n\r\nwhole`), 'complete'],
    ['that is shorter than its length', socket => socket.end(`${HEAD}content-length: 5\r\n\r\nwho`), 'lost'],
    ['without a length that ends with its connection', socket => socket.end(`${HEAD}connection: close\r\n\r\nwhole`), 'complete'],
    ['without a length that is reset', socket => { socket.write(`${HEAD}connection: close\r\n\r\nwho`, () => setTimeout(() => socket.resetAndDestroy(), 20)) }, 'lost'],
    ['without a length and without a connection header, ended by a reset', socket => { socket.write(`${HEAD}\r\nwho`, () => setTimeout(() => socket.resetAndDestroy(), 20)) }, 'lost'],
    ['in chunks without the last one', socket => socket.end(`${HEAD}transfer-encoding: chunked\r\n\r\n3\r\nwho\r\n`), 'lost'],
    ['that is not HTTP', socket => socket.write('nonsense\r\n\r\n'), 'lost']
  ])('detects whether a response is complete: one %s', async (_title, script, end) => {
    expect((await runExchange(script))[0].end).toBe(end)
  })

  // Guards against a truncated response that counts as complete, because Node.js reports a reset that it reads together with
  // the last bytes as an orderly end. The reverse, a close that counts as a reset, would lose whole responses.
  it.each<[string, (socket: Socket) => void, Outcome['end']]>([
    ['a reset', socket => { socket.resetAndDestroy() }, 'lost'],
    ['a close', socket => { socket.end() }, 'complete']
  ])('detects whether a response without a length is complete if %s is read together with its last bytes', async (_title, end, expected) => {
    for (const header of ['connection: close\r\n', '']) {
      const [outcome] = await runExchange(socket => {
        socket.write(`${HEAD}${header}\r\nwho`, () => {
          end(socket)
          blockEventLoop(BLOCKED_MS)
        })
      })
      expect([header, outcome.end]).toEqual([header, expected])
    }
  })

  // Guards against taking surplus bytes after one response as the response to the next request.
  it('closes a connection on which more bytes follow a response', async () => {
    let connections = 0
    const known = new Set<Socket>()
    const outcomes = await runExchange(socket => {
      if (!known.has(socket)) connections++
      known.add(socket)
      socket.write(`${HEAD}content-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra`)
    }, { requests: 2 })
    expect([connections, outcomes.map(({ body }) => body)]).toEqual([2, ['ok', 'ok']])
  })

  it('reports when no byte of the request can have been sent', async () => {
    const connections = new TargetConnections()
    const end = await new Promise(resolve => {
      const handler = new TargetExchange({ onHead () {}, onData () {}, onEnd: () => resolve('complete'), onError: (_error, isSent) => resolve(isSent ? 'lost' : 'unsent') })
      connections.dispatch({ host: '127.0.0.1', port: 1 }, { limit: 1, request: { method: 'GET', path: '/' }, handler })
    })
    expect(end).toBe('unsent')
    await connections.close()
  })

  // Guards against a router that exits: undici asserts that its parser is not paused when it handles a reset.
  it.each([['in chunks', 'connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nwho\r\n'], ['without a length', '\r\nwho']])('reports a response as lost that is reset while its reader has paused it: one %s', async (_title, bytes) => {
    const server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => socket.write(HEAD + bytes, () => setTimeout(() => socket.resetAndDestroy(), 20)))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
    const { port } = server.address() as AddressInfo
    const connections = new TargetConnections()
    const end = await new Promise(resolve => {
      const exchange = new TargetExchange({ onHead () {}, onData: () => exchange.pause(), onEnd: () => resolve('complete'), onError: () => resolve('lost') })
      connections.dispatch({ host: '127.0.0.1', port }, { limit: 1, request: { method: 'GET', path: '/' }, handler: exchange })
      setTimeout(() => { exchange.resume(); setTimeout(() => resolve('nothing'), 200) }, 200)
    })
    expect(end).toBe('lost')
    await connections.close()
    await new Promise(resolve => server.close(resolve))
  })
})
