import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { FaultProxy } from '../../../src/standIn/FaultProxy'
import { applySettings } from '../applySettings'
import type { FleetOptions } from '../FleetOptions'
import { reservePorts } from '../reservePorts'
import { startProcess } from '../startProcess'
import { waitFor } from '../waitFor'

const HOST = '127.0.0.1'
const CLUSTER_KEY = 'cluster-key-for-tests'
const TOKEN = 'bootstrap-token-for-tests'

interface Member {
  name: string
  zone: string
  /** Base URL of its HTTP port, which stays the same across restarts. */
  url: string
  pid: number
  exitCode: Promise<number | null>
  signal: (name: NodeJS.Signals) => void
  /** Stops the process gracefully and waits for its exit. */
  stop: () => Promise<void>
  /** Kills the process and waits for its exit. */
  kill: () => Promise<void>
  /** Stops the process and starts it again with the same settings, ports and data directory. */
  restart: () => Promise<void>
}

interface Fleet {
  controls: Member[]
  routers: Member[]
  engines: Member[]
  bookings: Member[]
  /** Operator token that the control replicas accept. */
  token: string
  clusterKey: string
  /** Fault proxies. The key is `<from>><to>` for a link (for example `r1>c1`) and the target's name for a target. */
  proxies: Map<string, FaultProxy>
  /** Applies settings as an operator does and waits until every running router has received them. */
  apply: (settings: Record<string, unknown>) => Promise<void>
  /** Drops all bytes on links between the two groups of instances, in both directions. */
  partition: (groupA: string[], groupB: string[]) => void
  /** Removes the rules of all proxies, so that links and targets work again. */
  heal: () => void
  stop: () => Promise<void>
}

/** Starts a fleet of real processes on loopback addresses and applies its settings through the operator API. Call `stop` at the end of the test. */
export async function startFleet (options: FleetOptions = {}): Promise<Fleet> {
  const { zones = ['z1'], routersPerZone = 1, controls = 1, engines = [], bookings = [], hasProxies = true } = options
  const members: Member[] = []
  const proxies = new Map<string, FaultProxy>()
  const dataRoot = mkdtempSync(join(tmpdir(), 'papayalead-fleet-'))
  const routerCount = zones.length * routersPerZone
  const { ports, release } = await reservePorts(2 * (controls + routerCount) + engines.length + bookings.length)
  const stop = async (): Promise<void> => {
    await Promise.all(members.map(member => member.stop()))
    await Promise.all([...proxies.values()].map(proxy => proxy.close()))
    release()
    rmSync(dataRoot, { recursive: true, force: true })
  }

  const createPeers = (prefix: string, count: number) => Array.from({ length: count }, (_, index) => ({
    instance: `${prefix}${index + 1}`, zone: zones[index % zones.length], http: ports.pop()!, link: ports.pop()!
  }))
  const controlPeers = createPeers('c', controls)
  const routerPeers = createPeers('r', routerCount)

  const openProxy = async (name: string, port: number): Promise<number> => {
    if (!hasProxies) return port
    const proxy = new FaultProxy({ host: HOST, port })
    proxies.set(name, proxy)
    return (await proxy.listen({ host: HOST, port: 0 })).port
  }
  const listPeers = (from: string, peers: typeof controlPeers) => Promise.all(peers.map(async ({ instance, zone, link }) => {
    return { instance, zone, host: HOST, port: from === instance ? link : await openProxy(`${from}>${instance}`, link) }
  }))
  const createProcessSettings = ({ instance, zone, http, link }: typeof controlPeers[0]) => ({
    instance, zone, http: { host: HOST, port: http }, link: { host: HOST, port: link }, clusterKey: CLUSTER_KEY, logLevel: 'error'
  })
  const start = async (name: string, zone: string, port: number, args: string[], settings?: object): Promise<Member> => {
    const processOptions = {
      nodeFlags: args[0] === 'router' ? options.routerNodeFlags : undefined,
      logFile: options.logDirectory && join(options.logDirectory, `${name}.log`)
    }
    const member = await startMember({ name, zone, url: `http://${HOST}:${port}` }, () => startProcess(args, settings, processOptions))
    members.push(member)
    return member
  }

  try {
    const startStandIns = (kind: string, list: typeof engines) => Promise.all(list.map(async ({ name, zone, options }) => {
      const port = ports.pop()!
      return await start(name, zone, port, ['stand-in', kind, '--port', String(port), '--options', JSON.stringify(options ?? {})])
    }))
    const startControl = async (peer: typeof controlPeers[0]): Promise<Member> => {
      const replicas = await listPeers(peer.instance, controlPeers)
      const settings = { ...createProcessSettings(peer), replicas, dataDir: join(dataRoot, peer.instance), bootstrapToken: TOKEN, ...options.control }
      return await start(peer.instance, peer.zone, peer.http, ['control'], settings)
    }
    const startRouter = async (peer: typeof controlPeers[0]): Promise<Member> => {
      const others = routerPeers.filter(other => other !== peer)
      const [control, routers] = await Promise.all([listPeers(peer.instance, controlPeers), listPeers(peer.instance, others)])
      const settings = { ...createProcessSettings(peer), control, routers, lameDuckMs: 0, ...options.router }
      return await start(peer.instance, peer.zone, peer.http, ['router'], settings)
    }
    const [startedEngines, startedBookings, startedControls, startedRouters] = await Promise.all([
      startStandIns('engine', engines), startStandIns('booking', bookings),
      Promise.all(controlPeers.map(startControl)), Promise.all(routerPeers.map(startRouter))
    ])
    const apply = async (settings: Record<string, unknown>): Promise<void> => {
      const offset = await applySettings(settings, { controlUrls: startedControls.map(({ url }) => url), token: TOKEN })
      const running = await filterRunning(startedRouters)
      await Promise.all(running.map(router => waitFor(`offset ${offset} at ${router.name}`, () => hasOffset(router.url, offset))))
    }
    const settings: Record<string, unknown> = {}
    for (const [name, account] of Object.entries(options.accounts ?? {})) {
      settings[`/teams/t/accounts/${name}`] = { keyHashes: [createHash('sha256').update(`key-${name}`).digest('hex')], services: ['*'], ...account }
    }
    for (const { name, zone, service, slots = 8 } of [...engines, ...bookings]) {
      const { port } = new URL([...startedEngines, ...startedBookings].find(member => member.name === name)!.url)
      settings[`/teams/t/services/${service}`] ??= { kind: engines.some(engine => engine.service === service) ? 'completion' : 'http' }
      settings[`/teams/t/targets/${name}`] = { service, zone, slots, url: `http://${HOST}:${await openProxy(name, Number(port))}` }
    }
    Object.assign(settings, options.settings)
    if (Object.keys(settings).length > 0) await apply(settings)
    return {
      controls: startedControls,
      routers: startedRouters,
      engines: startedEngines,
      bookings: startedBookings,
      token: TOKEN,
      clusterKey: CLUSTER_KEY,
      proxies,
      apply,
      partition: (groupA, groupB) => {
        for (const [name, proxy] of proxies) {
          const [from, to] = name.split('>')
          const isBetween = (groupA.includes(from) && groupB.includes(to)) || (groupB.includes(from) && groupA.includes(to))
          if (isBetween) proxy.setRules({ toTarget: { mode: 'drop' }, toClient: { mode: 'drop' } })
        }
      },
      heal: () => { for (const proxy of proxies.values()) proxy.setRules({}) },
      stop
    }
  } catch (error) {
    await stop()
    throw error
  }
}

async function startMember (identity: { name: string, zone: string, url: string }, launch: () => ReturnType<typeof startProcess>): Promise<Member> {
  let current = await launch()
  return {
    ...identity,
    get pid () { return current.pid },
    get exitCode () { return current.exitCode },
    signal: name => current.signal(name),
    stop: () => current.stop(),
    kill: async () => {
      current.signal('SIGKILL')
      await current.exitCode
    },
    restart: async () => {
      await current.stop()
      current = await launch()
    }
  }
}

async function hasOffset (url: string, offset: number): Promise<boolean> {
  const response = await fetch(`${url}/readyz`, { signal: AbortSignal.timeout(1_000) })
  await response.text()
  return Number(response.headers.get('papayalead-settings-offset')) >= offset
}

async function filterRunning (routers: Member[]): Promise<Member[]> {
  const haveExited = await Promise.all(routers.map(router => Promise.race([router.exitCode.then(() => true), Promise.resolve(false)])))
  return routers.filter((_, index) => !haveExited[index])
}
