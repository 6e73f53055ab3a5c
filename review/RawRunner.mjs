import { createServer } from 'node:net'

const HOST = '127.0.0.1'
const HEAD_END = '\r\n\r\n'

/**
 * Stand-in for a runner that writes its answers to the bare connection. `respond` is called with each request that the
 * runner begins to run, and with the connection; it resolves when the next request may be read. A request for another
 * incarnation gets 421, and requests beyond the slots get a refusal, as PROTOCOL.md says.
 */
export class RawRunner {
  port = 0
  #options
  #running = 0

  constructor ({ id, slots, respond }) {
    this.#options = { id, slots, respond }
  }

  async start () {
    const server = createServer(socket => this.#serve(socket))
    await new Promise(resolve => server.listen(0, HOST, resolve))
    this.port = server.address().port
    return this
  }

  #serve (socket) {
    let received = Buffer.alloc(0)
    let isBusy = false
    const readNext = async () => {
      const head = received.indexOf(HEAD_END)
      if (isBusy || head === -1) return
      const request = parseHead(received.subarray(0, head).toString('latin1'))
      const end = head + HEAD_END.length + Number(request.headers['content-length'] ?? 0)
      if (received.length < end) return
      received = received.subarray(end)
      isBusy = true
      await this.#run(request, socket)
      isBusy = false
      if (!socket.destroyed) readNext()
    }
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('data', chunk => {
      received = Buffer.concat([received, chunk])
      readNext()
    })
  }

  async #run (request, socket) {
    const { id, slots, respond } = this.#options
    const attempt = request.headers['x-attempt-id']
    const refuse = status => socket.write(`HTTP/1.1 ${status}\r\nX-Attempt-Id: ${attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0${HEAD_END}`)
    if (request.headers['x-expect-instance'] !== id) return refuse('421 Misdirected Request')
    if (this.#running >= slots) return refuse('503 Service Unavailable')
    this.#running++
    await respond({ attempt, ...request }, socket)
    this.#running--
  }
}

function parseHead (text) {
  const [requestLine, ...lines] = text.split('\r\n')
  const [method, path] = requestLine.split(' ')
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  return { method, path, headers }
}
