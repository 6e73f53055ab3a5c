import { createServer, type AddressInfo, type Socket } from 'node:net'
import type { GatewayFleet } from '../GatewayFleet'

interface RawTargetOptions {
  id: string
  service: string
  /** Handles a request by writing to the raw socket. */
  respond: (socket: Socket, request: { callId: string, lastEventId?: string }) => void
}

/** Adds a target to the fleet that may answer with any bytes, or end its connections at any point. */
export async function startRawTarget (fleet: GatewayFleet, { id, service, respond }: RawTargetOptions): Promise<{ close: () => Promise<void> }> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', data => {
      const head = data.toString('latin1')
      const callId = /^call-id: (.*)\r$/m.exec(head)?.[1]
      if (callId !== undefined) respond(socket, { callId, lastEventId: /^last-event-id: (.*)\r$/m.exec(head)?.[1] })
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  fleet.targets.push({ id, service, host: '127.0.0.1', port: (server.address() as AddressInfo).port, zone: 'z1', slots: 8, isDraining: false, warmupMs: 0 })
  return {
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
