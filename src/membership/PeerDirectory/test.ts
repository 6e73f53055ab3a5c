import { PeerDirectory } from '.'
import type { PlatformInstance } from '../../contract/PlatformInstance'

const initial = [{ instance: 'r2', zone: 'z', host: '127.0.0.1', port: 2 }]
const listed = (instance: string, port: number): PlatformInstance => ({ instance, kind: 'router', zone: 'z', state: 'live', host: '127.0.0.1', port })

describe('PeerDirectory', () => {
  it('adds and updates routers from the list and keeps those in the settings file, so that a lagging list removes no peer', () => {
    const directory = new PeerDirectory({ self: 'r1', initial })
    const seen: string[][] = []
    directory.subscribe(peers => seen.push(peers.map(peer => `${peer.instance}:${peer.port}`)))
    directory.update([listed('r1', 1), listed('r2', 22), listed('r3', 3)])
    directory.update([listed('r1', 1), listed('r2', 22), listed('r3', 3)])
    directory.update([])
    expect(seen).toEqual([['r2:2'], ['r2:22', 'r3:3'], ['r2:2']])
  })
})
