import { applySettings } from './_lib/applySettings'
import { startFleet } from './_lib/startFleet'
import { waitFor } from './_lib/waitFor'

type Fleet = Awaited<ReturnType<typeof startFleet>>
type Router = Fleet['routers'][number]

const ZONES = ['z1', 'z2', 'z3']
// Each wait polls a router directly. The routers of z1 are r1 (the relay) and r4, those of z3 are r3 and r6.
const startThreeZones = () => startFleet({
  zones: ZONES,
  routersPerZone: 2,
  controls: 3,
  accounts: { a: {} },
  bookings: ZONES.map(zone => ({ name: `b-${zone}`, zone, service: 'booking' }))
})

async function getOffset (router: Router): Promise<number> {
  const response = await fetch(`${router.url}/readyz`, { signal: AbortSignal.timeout(1_000) })
  await response.text()
  return Number(response.headers.get('papayalead-settings-offset'))
}

const change = (fleet: Fleet, reason: string, controls = fleet.controls): Promise<number> =>
  applySettings({ '/teams/t/drains/unused': { reason } }, { controlUrls: controls.map(({ url }) => url), token: fleet.token })

const waitForOffset = (router: Router, offset: number) =>
  waitFor(`offset ${offset} at ${router.name}`, async () => await getOffset(router) >= offset)

const read = (router: Router) => fetch(`${router.url}/services/booking/record`, { headers: { authorization: 'Bearer key-a' } })

describe('settings over real processes', () => {
  it('reach routers whose relay is paused, so that one unresponsive router does not delay its zone', async () => {
    const fleet = await startThreeZones()
    try {
      const [relay, , , follower] = fleet.routers
      relay.signal('SIGSTOP')
      await waitForOffset(follower, await change(fleet, 'relay paused'))
      relay.signal('SIGCONT')
      await waitForOffset(relay, await change(fleet, 'relay resumed'))
    } finally {
      await fleet.stop()
    }
  })

  it('keep their offset in a partitioned zone, take effect on a router that cold starts there, and reach the newest offset after the partition is removed', async () => {
    const fleet = await startThreeZones()
    try {
      const inside = ['r3', 'r6', 'c3']
      const outside = ['r1', 'r2', 'r4', 'r5', 'c1', 'c2']
      const routers = fleet.routers.filter(router => inside.includes(router.name))
      const before = await getOffset(routers[0])
      fleet.partition(inside, outside)
      const newest = await change(fleet, 'while partitioned', fleet.controls.slice(0, 2))
      await Promise.all(fleet.routers.filter(router => outside.includes(router.name)).map(router => waitForOffset(router, newest)))
      await fleet.controls[2].kill()
      await routers[1].kill()
      await routers[1].restart()
      await waitForOffset(routers[1], before)
      expect((await read(routers[1])).status).toBe(200)
      expect(await getOffset(routers[0])).toBe(before)
      fleet.heal()
      await Promise.all(routers.map(router => waitForOffset(router, newest)))
    } finally {
      await fleet.stop()
    }
  })

  it('keep every accepted change, without a stale read, when the leader receives from the other replicas but can not send to them', async () => {
    const fleet = await startThreeZones()
    try {
      const headers = { authorization: `Bearer ${fleet.token}` }
      const { quorum } = await (await fetch(`${fleet.controls[0].url}/v1/status`, { headers })).json() as { quorum: { leader: string } }
      const formerLeader = fleet.controls.find(({ name }) => name === quorum.leader)!
      const others = fleet.controls.filter(control => control !== formerLeader)
      await change(fleet, 'before')
      for (const { name } of others) fleet.proxies.get(`${formerLeader.name}>${name}`)!.setRules({ toTarget: { mode: 'drop' } })
      const newest = await change(fleet, 'after', others)
      await Promise.all(fleet.routers.map(router => waitForOffset(router, newest)))
      const read = await fetch(`${formerLeader.url}/v1/setting?path=/teams/t/drains/unused`, { headers })
      const body = await read.json() as { value?: { reason: string } }
      if (read.status === 200) expect(body.value?.reason).toBe('after')
      fleet.heal()
      const last = await change(fleet, 'healed', [formerLeader])
      expect(last).toBeGreaterThan(newest)
      await Promise.all(fleet.routers.map(router => waitForOffset(router, last)))
    } finally {
      await fleet.stop()
    }
  })
})
