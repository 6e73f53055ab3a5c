import { connect } from 'node:net'
import { startHttpServer } from '.'

describe('startHttpServer', () => {
  // Guards against a request whose caller is told that it is malformed, and does not come back, because a process that was
  // paused or busy has not read it in time.
  it('answers a request that does not arrive in time with 408, as not run', async () => {
    const { server, address } = await startHttpServer({ host: '127.0.0.1', port: 0 }, [])
    try {
      const answer = new Promise<string>(resolve => {
        let text = ''
        const socket = connect(address.port, '127.0.0.1', () => socket.write('POST / HTTP/1.1\r\nhost: a\r\n'))
        socket.on('data', bytes => { text += bytes.toString('latin1') }).on('close', () => resolve(text))
      })
      await new Promise<void>(resolve => server.once('connection', socket => {
        // What Node.js reports when it finds such a connection, every 30 s.
        setTimeout(() => {
          server.emit('clientError', Object.assign(new Error('Request timeout'), { code: 'ERR_HTTP_REQUEST_TIMEOUT' }), socket)
          resolve()
        }, 20)
      }))
      expect(await answer).toMatch(/^HTTP\/1\.1 408 Request Timeout\r\n[^]*papayalead-outcome: not-run\r\n[^]*"kind":"request-timeout"/)
    } finally {
      server.closeAllConnections()
      server.close()
    }
  })
})
