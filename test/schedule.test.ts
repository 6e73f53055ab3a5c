import { startFleet } from './_lib/startFleet'
import { waitFor } from './_lib/waitFor'

type Fleet = Awaited<ReturnType<typeof startFleet>>

const engine = (name: string, zone: string, slots: number) => ({ name, zone, service: 'llama', slots, options: { maxBatch: 200, firstTokenMs: 0, tokenMs: 5 } })

async function complete (url: string, account: string, maxTokens = 8): Promise<boolean> {
  try {
    const response = await fetch(`${url}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer key-${account}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'llama', max_tokens: maxTokens }),
      signal: AbortSignal.timeout(20_000)
    })
    await response.text()
    return response.status === 200
  } catch {
    return false
  }
}

interface Load { completed: number, isStopped: boolean }

const loads = new Set<Load>()

async function runLoad (load: Load, url: string, account: string): Promise<void> {
  while (!load.isStopped) {
    if (await complete(url, account)) load.completed++
    else await new Promise(resolve => setTimeout(resolve, 20))
  }
}

/** Keeps a number of requests of an account at a router until the loads are stopped, and counts the completed ones. */
function startLoad (url: string, account: string, concurrency: number): Load {
  const load: Load = { completed: 0, isStopped: false }
  loads.add(load)
  for (let index = 0; index < concurrency; index++) runLoad(load, url, account).catch(() => {})
  return load
}

function stopLoads (): void {
  for (const load of loads) load.isStopped = true
  loads.clear()
}

const countRunning = async (fleet: Fleet): Promise<number> => {
  const load = await (await fetch(`${fleet.engines[0].url}/load`)).json() as { running: number }
  return load.running
}

describe('scheduling between real routers', () => {
  it('continues to serve after the scheduler was killed under load, whichever router it is', async () => {
    const fleet = await startFleet({ zones: ['z1'], routersPerZone: 3, accounts: { a: {} }, engines: [engine('e1', 'z1', 4)] })
    try {
      for (const killed of fleet.routers) {
        const others = fleet.routers.filter(router => router !== killed)
        const loads = fleet.routers.map(router => startLoad(router.url, 'a', 4))
        await waitFor('completions at every router', () => loads.every(load => load.completed > 0))
        await killed.kill()
        const before = others.map(router => loads[fleet.routers.indexOf(router)].completed)
        await waitFor('completions at the others', () => others.every((router, index) => loads[fleet.routers.indexOf(router)].completed > before[index] + 8))
        stopLoads()
        await killed.restart()
      }
    } finally {
      stopLoads()
      await fleet.stop()
    }
  })

  it('continues to serve while a router is paused, serves through it after it is resumed, and does not over-admit for long', async () => {
    const fleet = await startFleet({ zones: ['z1'], routersPerZone: 3, accounts: { a: {} }, engines: [engine('e1', 'z1', 4)] })
    try {
      for (const paused of fleet.routers) {
        const others = fleet.routers.filter(router => router !== paused)
        const loads = others.map(router => startLoad(router.url, 'a', 6))
        paused.signal('SIGSTOP')
        await waitFor('completions while one is paused', () => loads.every(load => load.completed > 100))
        paused.signal('SIGCONT')
        await waitFor('a completion through the resumed router', () => complete(paused.url, 'a'))
        for (let sample = 0; sample < 20; sample++) expect(await countRunning(fleet)).toBeLessThanOrEqual(2 * 4)
        await waitFor('the limit to hold again', async () => await countRunning(fleet) <= 4)
        stopLoads()
      }
    } finally {
      stopLoads()
      await fleet.stop()
    }
  })

  it('serves the requests of a small account in turn while another floods all routers', async () => {
    const fleet = await startFleet({ zones: ['z1'], routersPerZone: 3, accounts: { flood: {}, small: {} }, engines: [engine('e1', 'z1', 2)] })
    try {
      const floods = fleet.routers.map(router => startLoad(router.url, 'flood', 30))
      const countFlood = (): number => floods.reduce((sum, load) => sum + load.completed, 0)
      await waitFor('the flood', () => countFlood() > 50)
      const before = countFlood()
      for (let turn = 0; turn < 15; turn++) expect(await complete(fleet.routers[turn % 3].url, 'small')).toBe(true)
      // With first come, first served about 90 requests of the flood would run before each small one.
      expect(countFlood() - before).toBeLessThan(15 * 8)
    } finally {
      stopLoads()
      await fleet.stop()
    }
  })

  it('bounds the service gap between accounts that are queued in different zones, which fairness within each zone does not', async () => {
    const fleet = await startFleet({
      zones: ['z1', 'z2'], routersPerZone: 1, accounts: { a: {}, b: {} }, engines: [engine('e1', 'z1', 6), engine('e2', 'z2', 2)]
    })
    try {
      const loads = [startLoad(fleet.routers[0].url, 'a', 30), startLoad(fleet.routers[1].url, 'b', 30)]
      const runMore = async (count: number): Promise<number> => {
        const [a, b] = loads.map(load => load.completed)
        await waitFor('completions', () => loads[0].completed + loads[1].completed - a - b >= count)
        return loads[0].completed - a - (loads[1].completed - b)
      }
      await runMore(200)
      expect(Math.abs(await runMore(300))).toBeLessThan(40)
      fleet.partition(['r1'], ['r2'])
      await runMore(200)
      expect(Math.abs(await runMore(300))).toBeGreaterThan(100)
      fleet.heal()
      // The links reconnect within seconds, and any number of requests completes until then. After that the bound must hold.
      await waitFor('a bounded gap after the partition', async () => Math.abs(await runMore(300)) < 40)
      expect(Math.abs(await runMore(300))).toBeLessThan(40)
    } finally {
      stopLoads()
      await fleet.stop()
    }
  })
})
