import type { Server } from 'node:http'

/** A function that stops a server and destroys its connections. */
export function createClose (server: Server): () => Promise<void> {
  return () => new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
