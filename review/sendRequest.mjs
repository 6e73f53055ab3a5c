import { connect } from 'node:net'

const HOST = '127.0.0.1'
const HEAD_END = '\r\n\r\n'

/**
 * Sends one client attempt on a new connection and reads the answer byte by byte, as HTTP/1.1 frames it.
 *
 * Returns `status` (undefined without an answer), `headers`, `body` (decoded as far as it came), `framing` and `isWhole`:
 * whether the answer looks complete. An answer without a length is whole only if its connection was closed in order and
 * not reset.
 */
export function sendRequest ({ port, method = 'POST', path, headers, body = '', timeoutMs }) {
  return new Promise(resolve => {
    const socket = connect(port, HOST)
    let received = Buffer.alloc(0)
    let isEnded = false
    let isReset = false
    const timer = setTimeout(() => socket.destroy(), timeoutMs)
    socket.setNoDelay(true)
    const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) }).map(([name, value]) => `${name}: ${value}\r\n`)
    socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`)
    socket.on('data', chunk => {
      received = Buffer.concat([received, chunk])
      const answer = parseAnswer(received)
      if (answer?.isWhole) socket.destroy()
    })
    socket.on('end', () => {
      isEnded = true
      // Read here for the first time: a connection that was reset has no peer any more, one that was closed still has.
      if (socket.remoteAddress === undefined) isReset = true
    })
    socket.on('error', () => { isReset = true })
    socket.on('close', () => {
      clearTimeout(timer)
      const answer = parseAnswer(received)
      if (!answer) return resolve({ status: undefined, headers: {}, body: '', framing: 'none', isWhole: false })
      const isWhole = answer.framing === 'close' ? isEnded && !isReset : answer.isWhole
      resolve({ ...answer, isWhole })
    })
  })
}

/** Returns the answer as far as it has come; undefined before its head is complete. */
function parseAnswer (bytes) {
  const end = bytes.indexOf(HEAD_END)
  if (end === -1) return undefined
  const [statusLine, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const status = Number(statusLine.split(' ')[1])
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const rest = bytes.subarray(end + HEAD_END.length)
  if (headers['transfer-encoding'] !== undefined) return { status, headers, framing: 'chunked', ...decodeChunks(rest) }
  if (headers['content-length'] === undefined) return { status, headers, framing: 'close', body: rest.toString('latin1'), isWhole: false }
  return { status, headers, framing: 'length', body: rest.toString('latin1'), isWhole: rest.length >= Number(headers['content-length']) }
}

function decodeChunks (bytes) {
  const text = bytes.toString('latin1')
  let body = ''
  let position = 0
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position)
    if (lineEnd === -1) return { body, isWhole: false }
    const size = parseInt(text.slice(position, lineEnd), 16)
    const chunkEnd = lineEnd + 2 + size + 2
    if (chunkEnd > text.length) return { body, isWhole: false }
    if (size === 0) return { body, isWhole: true }
    body += text.slice(lineEnd + 2, chunkEnd - 2)
    position = chunkEnd
  }
}
