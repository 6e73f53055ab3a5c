import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { FaultProxy } from '.'

const HOST = '127.0.0.1'

/** Starts an echo server behind a proxy, and connects a client that collects the received text. */
async function openEcho (): Promise<{ proxy: FaultProxy, client: Socket, getText: () => string, waitForText: (text: string) => Promise<void>, close: () => Promise<void> }> {
  const server = createServer(socket => socket.on('error', () => {}).pipe(socket)).listen(0, HOST)
  await once(server, 'listening')
  const proxy = new FaultProxy({ host: HOST, port: (server.address() as AddressInfo).port })
  const client = connect(await proxy.listen({ host: HOST, port: 0 })).setEncoding('utf8')
  let received = ''
  client.on('data', chunk => { received += String(chunk) }).on('error', () => {})
  const waitForText = async (text: string): Promise<void> => {
    for (const getReceived = () => received; getReceived() !== text;) await once(client, 'data')
  }
  const close = async (): Promise<void> => {
    client.destroy()
    await proxy.close()
    server.close()
  }
  return { proxy, client, getText: () => received, waitForText, close }
}

describe('FaultProxy', () => {
  it('keeps held bytes and the order of delayed bytes, so that a healed link has the whole stream', async () => {
    const { proxy, client, waitForText, close } = await openEcho()
    proxy.setRules({ toTarget: { mode: 'pass', delayMs: 30 } })
    client.write('a')
    await new Promise(resolve => setTimeout(resolve, 10))
    proxy.setRules({})
    client.write('b')
    await waitForText('ab')
    proxy.setRules({ toClient: { mode: 'hold' } })
    client.write('c')
    await new Promise(resolve => setTimeout(resolve, 30))
    proxy.setRules({})
    await waitForText('abc')
    await close()
  })

  it('resets a connection that lost bytes when the partition heals, so that no stream with a gap is delivered', async () => {
    const { proxy, client, getText, waitForText, close } = await openEcho()
    client.write('a')
    await waitForText('a')
    proxy.setRules({ toTarget: { mode: 'drop' } })
    client.write('lost')
    await new Promise(resolve => setTimeout(resolve, 30))
    proxy.setRules({})
    await expect(once(client, 'close')).rejects.toMatchObject({ code: 'ECONNRESET' })
    expect(getText()).toBe('a')
    await close()
  })

  it('resets open connections on demand, so that a crashed target can be simulated', async () => {
    const { proxy, client, waitForText, close } = await openEcho()
    client.write('a')
    await waitForText('a')
    const error = once(client, 'error')
    proxy.reset()
    expect((await error)[0]).toMatchObject({ code: 'ECONNRESET' })
    await close()
  })
})
