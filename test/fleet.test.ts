import { startFleet } from './_lib/startFleet'

describe('the fleet harness', () => {
  it('serves through the proxies, loses a reset call, and stops everything, so that other tests can rely on it', async () => {
    const fleet = await startFleet({
      zones: ['z1', 'z2'],
      accounts: { a: {} },
      engines: [{ name: 'e1', zone: 'z1', service: 'llama' }],
      bookings: [{ name: 'b1', zone: 'z2', service: 'booking' }]
    })
    try {
      const book = () => fetch(`${fleet.routers[1].url}/services/booking/bookings`, { method: 'POST', headers: { authorization: 'Bearer key-a' }, body: '{"pool":7}' })
      expect((await book()).status).toBe(201)
      const proxy = fleet.proxies.get('b1')!
      proxy.refuseConnections = true
      proxy.reset()
      expect((await book()).status).toBeGreaterThanOrEqual(500)
      proxy.refuseConnections = false
      fleet.partition(['r2'], ['c1'])
      await fleet.controls[0].kill()
      fleet.heal()
      await fleet.bookings[0].restart()
      expect((await book()).status).toBe(201)
    } finally {
      await fleet.stop()
    }
    expect(await fleet.routers[0].exitCode).toBe(0)
  })
})
