import { PlacementNetwork } from './_lib/PlacementNetwork'

const TARGET = { id: 't1', service: 's', host: '10.0.0.1', port: 1, zone: 'z', slots: 48, isDraining: false, warmupMs: 0 }

let network: PlacementNetwork
let nextId = 0

async function advance (ms: number): Promise<void> {
  for (let i = 0; i < ms; i += 10) await jest.advanceTimersByTimeAsync(10)
}

/** Requests the placement of prompts at the same time, which end at once; returns how many are placed. */
async function startMany (router: number, { account, count, promptTokens, isEnded = true }: { account: string, count: number, promptTokens: number, isEnded?: boolean }): Promise<number> {
  const ids = Array.from({ length: count }, () => String(nextId++))
  const started = ids.map(id => network.routers[router].start(id, { account, promptTokens }))
  await advance(260)
  const results = await Promise.all(started)
  const placed = ids.filter((_, i) => results[i])
  for (const id of isEnded ? placed : []) for (const event of ['read', 'ended'] as const) network.routers[router].record(id, event)
  return placed.length
}

/** One account is served far more than its share, and another one is refused. */
async function serveUnequally (): Promise<void> {
  for (let i = 0; i < 4; i++) await startMany(0, { account: 'hot', count: 60, promptTokens: 2_000 })
  await startMany(1, { account: 'small', count: 60, promptTokens: 2_000 })
}

describe('The shares of client accounts', () => {
  beforeEach(() => {
    jest.useFakeTimers()
    network = new PlacementNetwork({ replicas: 2, routers: 3, targets: [TARGET] })
  })
  afterEach(() => {
    network.close()
    jest.useRealTimers()
  })

  // Guards against a change of leader after which an account that was served many times its share counts as a new one.
  it('are known to a new leader as soon as routers have found it', async () => {
    await serveUnequally()
    const before = new Map(network.services[0].getShares().map(([account, demand, service]) => [account, { demand, service }]))
    network.setLeader(1)
    await startMany(0, { account: 'other', count: 1, promptTokens: 10 })
    const after = new Map(network.services[1].getShares().map(([account, demand, service]) => [account, { demand, service }]))
    for (const account of ['hot', 'small']) {
      expect(after.get(account)!.demand / before.get(account)!.demand).toBeGreaterThan(0.85)
      expect(after.get(account)!.service / before.get(account)!.service).toBeGreaterThan(0.85)
      expect(after.get(account)!.service / before.get(account)!.service).toBeLessThan(1.15)
    }
  })

  // Guards against a replica that leads again with the shares of the time before.
  it('are known to a replica that leads again', async () => {
    await serveUnequally()
    network.setLeader(undefined)
    await advance(100)
    network.setLeader(0)
    await advance(600)
    expect(network.services[0].getShares().map(([account]) => account)).toEqual(['hot', 'small'])
  })

  // Guards against routers that serve an account beyond its share as a new one while they can't reach the scheduler.
  it('limit an account at a router that decides by itself', async () => {
    await serveUnequally()
    await advance(300)
    const [, , alone] = network.routers
    alone.leader = undefined
    expect(await startMany(2, { account: 'filler', count: 1, promptTokens: 5_000, isEnded: false })).toBe(1)
    expect(await startMany(2, { account: 'hot', count: 1, promptTokens: 2_000 })).toBe(0)
    expect(await startMany(2, { account: 'small', count: 1, promptTokens: 2_000 })).toBe(1)
  })
})
