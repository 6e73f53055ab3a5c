import { startFleet } from '../../../../../test/_lib/startFleet'
import { readProcessUsage } from '../../readProcessUsage'
import type { ScalingSeries } from '../../ScalingSeries'

const ROUTERS_PER_ZONE = [4, 8, 12, 16, 20]
const ZONES = [2, 4, 6, 8]
const SETTLE_MS = 6_000
const IDLE_MS = 10_000
const CHANGES = 50
const CHANGE_INTERVAL_MS = 100

type Fleet = Awaited<ReturnType<typeof startFleet>>

interface Usage {
  /** CPU time in percent of one core. */
  cpuPercent: number
  /** Bytes per second sent on links, from the metrics of the process. */
  sentPerS: number
  /** Bytes per second received on links, from the metrics of the process. */
  receivedPerS: number
}

/**
 * Measures the cost of heartbeats and long polls in idle fleets of real processes, by routers per zone and by zones,
 * and the cost of a settings change for the relay.
 */
export async function measureIdleFleet (): Promise<ScalingSeries[]> {
  const byRouters = await measureEach(ROUTERS_PER_ZONE, measureZone)
  const byZones = await measureEach(ZONES, measureZones)
  const select = (source: Array<[number, Record<string, number>]>, field: string): Array<[number, number]> => source.map(([x, values]) => [x, values[field]])
  const perZone = 'routers in the availability zone'
  return [
    { role: 'zone scheduler', quantity: 'idle CPU (scheduler and relay in one router)', unit: '% of a core', variable: perZone, points: select(byRouters, 'schedulerCpu'), projectedSize: 20 },
    { role: 'zone scheduler', quantity: 'idle traffic (scheduler and relay in one router, both directions)', unit: 'bytes/s', variable: perZone, points: select(byRouters, 'schedulerBytes'), projectedSize: 20 },
    { role: 'router', quantity: 'idle CPU of the whole process', unit: '% of a core', variable: perZone, points: select(byRouters, 'otherCpu'), projectedSize: 20 },
    { role: 'router', quantity: 'idle traffic (both directions)', unit: 'bytes/s', variable: perZone, points: select(byRouters, 'otherBytes'), projectedSize: 20 },
    { role: 'router', quantity: 'resident memory of the whole process', unit: 'MiB', variable: perZone, points: select(byRouters, 'rss'), projectedSize: 20 },
    { role: 'relay', quantity: 'traffic of a settings change (both directions, above idle)', unit: 'bytes', variable: perZone, points: select(byRouters, 'changeBytes'), projectedSize: 20 },
    { role: 'relay', quantity: 'CPU of a settings change (above idle)', unit: 'ms', variable: perZone, points: select(byRouters, 'changeCpuMs'), projectedSize: 20 },
    { role: 'zone scheduler', quantity: 'idle traffic with other availability zones (both directions)', unit: 'bytes/s', variable: 'availability zones', points: select(byZones, 'bytes'), projectedSize: 16 },
    { role: 'control replica', quantity: 'idle CPU, leader of 3 replicas', unit: '% of a core', variable: 'routers', points: select(byRouters, 'controlCpu'), projectedSize: 320 },
    { role: 'control replica', quantity: 'idle traffic, leader of 3 replicas (both directions)', unit: 'bytes/s', variable: 'routers', points: select(byRouters, 'controlBytes'), projectedSize: 320 }
  ]
}

async function measureEach<T> (sizes: number[], measure: (size: number) => Promise<T>): Promise<Array<[number, T]>> {
  const points: Array<[number, T]> = []
  for (const size of sizes) points.push([size, await measure(size)])
  return points
}

async function measureZone (routersPerZone: number): Promise<Record<string, number>> {
  return await runFleet({ zones: ['z1'], routersPerZone, controls: 3 }, async fleet => {
    const idle = await measureUsage(fleet, () => wait(IDLE_MS))
    const changing = await measureUsage(fleet, async () => {
      for (let count = 0; count < CHANGES; count++) {
        await fleet.apply({ '/teams/t/accounts/a': { keyHashes: [], services: ['*'], weight: 1 + count } })
        await wait(CHANGE_INTERVAL_MS)
      }
    })
    // The router with the first name is the relay. Any router can be elected scheduler; the one that sends most is taken
    // to be the scheduler.
    const scheduler = idle.routers.reduce((best, next) => next.sentPerS > best.sentPerS ? next : best)
    const others = idle.routers.filter(usage => usage !== scheduler)
    const computeRelayBytes = (source: typeof idle): number => (source.routers[0].sentPerS + source.routers[0].receivedPerS) * source.durationS
    const computeRelayCpuMs = (source: typeof idle): number => source.routers[0].cpuPercent * 10 * source.durationS
    const durationRatio = changing.durationS / idle.durationS
    return {
      schedulerCpu: scheduler.cpuPercent,
      schedulerBytes: scheduler.sentPerS + scheduler.receivedPerS,
      otherCpu: computeMean(others.map(usage => usage.cpuPercent)),
      otherBytes: computeMean(others.map(usage => usage.sentPerS + usage.receivedPerS)),
      controlCpu: Math.max(...idle.controls.map(usage => usage.cpuPercent)),
      controlBytes: Math.max(...idle.controls.map(usage => usage.sentPerS + usage.receivedPerS)),
      rss: computeMean(fleet.routers.map(({ pid }) => readProcessUsage(pid).rssBytes / 2 ** 20)),
      changeBytes: (computeRelayBytes(changing) - computeRelayBytes(idle) * durationRatio) / CHANGES,
      changeCpuMs: (computeRelayCpuMs(changing) - computeRelayCpuMs(idle) * durationRatio) / CHANGES
    }
  })
}

async function measureZones (zones: number): Promise<Record<string, number>> {
  return await runFleet({ zones: Array.from({ length: zones }, (_, index) => `z${index + 1}`), routersPerZone: 1, controls: 1 }, async fleet => {
    const idle = await measureUsage(fleet, () => wait(IDLE_MS))
    return { bytes: computeMean(idle.routers.map(usage => usage.sentPerS + usage.receivedPerS)) }
  })
}

async function runFleet<T> (size: { zones: string[], routersPerZone: number, controls: number }, measure: (fleet: Fleet) => Promise<T>): Promise<T> {
  const fleet = await startFleet({ ...size, hasProxies: false, accounts: { a: {} }, settings: { '/teams/t/services/s': { kind: 'http' } } })
  try {
    await wait(SETTLE_MS)
    return await measure(fleet)
  } finally {
    await fleet.stop()
  }
}

async function measureUsage (fleet: Fleet, run: () => Promise<void>): Promise<{ routers: Usage[], controls: Usage[], durationS: number }> {
  const readAll = (members: Fleet['routers']) => Promise.all(members.map(async ({ url, pid }) => ({ ...await readTraffic(url, fleet.token), cpuS: readProcessUsage(pid).cpuS })))
  const startedAtMs = performance.now()
  const [routersBefore, controlsBefore] = [await readAll(fleet.routers), await readAll(fleet.controls)]
  await run()
  const [routersAfter, controlsAfter] = [await readAll(fleet.routers), await readAll(fleet.controls)]
  const durationS = (performance.now() - startedAtMs) / 1_000
  const computeUsages = (before: typeof routersBefore, after: typeof routersBefore): Usage[] => before.map((start, index) => ({
    cpuPercent: (after[index].cpuS - start.cpuS) / durationS * 100,
    sentPerS: (after[index].sent - start.sent) / durationS,
    receivedPerS: (after[index].received - start.received) / durationS
  }))
  return { routers: computeUsages(routersBefore, routersAfter), controls: computeUsages(controlsBefore, controlsAfter), durationS }
}

async function readTraffic (url: string, token: string): Promise<{ sent: number, received: number }> {
  const text = await (await fetch(`${url}/metrics`, { headers: { authorization: `Bearer ${token}` } })).text()
  const getBytes = (direction: string): number => Number(new RegExp(`^papayalead_link_bytes_total\\{[^}]*direction="${direction}"[^}]*\\} (\\S+)$`, 'm').exec(text)?.[1] ?? NaN)
  return { sent: getBytes('sent'), received: getBytes('received') }
}

function computeMean (values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function wait (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
