import type { Server } from 'node:http'

/** Returns a function that stops a server and destroys its connections. */
export function createCloseFunction (server: Server): () => Promise<void> {
  return () => new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
