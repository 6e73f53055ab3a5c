import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Replaces `closeIdleConnections` of a server, which `close` calls too. That of Node.js 20 also closes connections whose
 * response has ended but is not written yet, because the caller reads slowly. This one closes a connection only if all
 * its responses are written and nothing has been received since, or nothing at all.
 */
export function watchIdleConnections (server: Server): void {
  const openResponses = new WeakMap<Socket, number>()
  /** Number of bytes that each idle connection had received when its last response was written, 0 before the first. */
  const idle = new Map<Socket, number>()
  server.on('connection', (socket: Socket) => {
    idle.set(socket, 0)
    socket.once('close', () => idle.delete(socket))
  })
  server.prependListener('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    idle.delete(socket)
    openResponses.set(socket, (openResponses.get(socket) ?? 0) + 1)
    response.once('close', () => {
      const open = openResponses.get(socket)! - 1
      openResponses.set(socket, open)
      if (open === 0 && !socket.destroyed) idle.set(socket, socket.bytesRead)
    })
  })
  server.closeIdleConnections = () => {
    for (const [socket, bytesRead] of idle) if (socket.bytesRead === bytesRead) socket.destroy()
  }
}
