import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { sleep } from './sleep.mjs'

const REPOSITORY = fileURLToPath(new URL('..', import.meta.url))
const HOST = '127.0.0.1'
const ZONE = 'zone-a'
/** Values of the page DEPLOY.md for a small deployment. */
const BOUNDS = { 'Bounds.GraceS': 8, 'Bounds.RetryBudgetRatio': 0.2, 'Bounds.RetryBudgetExtra': 58, 'Bounds.BudgetWindowS': 10, 'FaultTolerance.Machines': 1 }
const LIMITS = { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000, TokensPerS: 315_000 }
const START_TIMEOUT_MS = 15_000
const FIRST_PORT = 10_000
const LAST_PORT = 30_000

/**
 * Registry replicas and routers as processes with the commands and the templates of settings of deploy/, and stand-ins
 * for the platform's list of runners, its load balancer and its operator. All addresses are loopback addresses.
 */
export class SmallFleet {
  /** Front addresses of the routers that get new connections. */
  rotation = []
  #directory = mkdtempSync(join(tmpdir(), 'review-'))
  #children = new Set()
  #routers = []
  #listed = []
  #list
  #ports
  #isClosed = false
  #record

  /** `record`: called with a line for each event. */
  constructor ({ record }) {
    this.#record = record
    process.on('exit', () => this.close())
  }

  async open ({ routers }) {
    const hosts = ['127.0.0.1', '127.0.0.2', '127.0.0.3', '127.0.0.4']
    this.#ports = { control: await findFreePort(hosts), link: await findFreePort(hosts) }
    this.#list = createHttpServer((_request, response) => response.setHeader('content-type', 'application/json').end(JSON.stringify({ Instances: this.#listed, Next: null })))
    await new Promise(resolve => this.#list.listen(0, HOST, resolve))
    for (let index = 0; index < routers; index++) this.#routers.push({ index, front: await findFreePort([HOST]), ready: await findFreePort([HOST]), misses: 0 })
  }

  /** Puts a runner on the platform's list. */
  addRunner ({ id, service, port, slots }) {
    this.#listed.push({ Service: service, Address: `${HOST}:${port}`, Zone: ZONE, Version: 'v1', Slots: slots, State: 'ready', WarmupLeftMs: 0, Stage: 'prefill_decode', Models: [{ Name: 'm', Version: 1, Adapters: [] }], Id: id })
  }

  startRegistry (host, { seeds, isBootstrap }) {
    const { control } = this.#ports
    return this.#start('registry', `registry-${host}`, { Ip: host, 'ListenersMap.Control': `${host}:${control}`, Seeds: seeds.map(seed => `${seed}:${control}`), Bootstrap: isBootstrap, DataDir: join(this.#directory, `data-${host}`) })
  }

  startRouter (index, { seeds }) {
    const router = this.#routers[index]
    router.child = this.#start('router', `router-${index}`, { Ip: HOST, 'ListenersMap.Front': `${HOST}:${router.front}`, 'ListenersMap.Ready': `${HOST}:${router.ready}`, Seeds: seeds.map(seed => `${seed}:${this.#ports.control}`) })
    return router
  }

  /** Kills a router; `restart` starts it again. */
  killRouter (index) {
    this.#record(`router ${index} gets SIGKILL`)
    this.#routers[index].child.kill('SIGKILL')
  }

  /** Asks each router once a second whether it is ready, as the platform's load balancer does. */
  startLoadBalancer () {
    this.rotation = this.#routers.map(({ front }) => front)
    const check = async router => {
      const isReady = await getStatus(`http://${HOST}:${router.ready}/readyz`) === 200
      router.misses = isReady ? 0 : router.misses + 1
    }
    const timer = setInterval(async () => {
      await Promise.all(this.#routers.map(check))
      const inRotation = this.#routers.filter(({ misses }) => misses < 2)
      this.rotation = (inRotation.length * 2 < this.#routers.length ? this.#routers : inRotation).map(({ front }) => front)
    }, 1_000)
    timer.unref()
  }

  async waitUntilReady () {
    const endsAt = Date.now() + START_TIMEOUT_MS
    for (const { ready } of this.#routers) {
      while (await getStatus(`http://${HOST}:${ready}/readyz`) !== 200) {
        if (Date.now() > endsAt) throw new Error('A router is not ready in time.')
        await sleep(100)
      }
    }
  }

  /**
   * Sends a configuration as the operator does: again, to the next host, until it is acknowledged or the time has passed.
   * Returns the milliseconds until the acknowledgement; undefined if there was none.
   */
  async sendConfiguration (configuration, { hosts, timeoutMs = START_TIMEOUT_MS }) {
    const startedAt = Date.now()
    for (let attempt = 0; Date.now() - startedAt < timeoutMs; attempt++) {
      const host = hosts[attempt % hosts.length]
      const status = await getStatus(`http://${host}:${this.#ports.control}/Config.Replace`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ Limits: LIMITS, ...configuration }) })
      this.#record(`configuration ${configuration.Version} sent to ${host}: ${status ?? 'no answer'}`)
      if (status === 200) return Date.now() - startedAt
      await sleep(Math.min(1_000, 100 * 2 ** attempt))
    }
    return undefined
  }

  /** Ends all processes that were started, and removes their files. */
  close () {
    if (this.#isClosed) return
    this.#isClosed = true
    for (const child of this.#children) child.kill('SIGKILL')
    rmSync(this.#directory, { recursive: true, force: true })
  }

  #start (role, name, fields) {
    const file = join(this.#directory, `${name}.jsonc`)
    writeFileSync(file, renderTemplate(role, { NodeName: name, Zone: ZONE, 'PortRange.0': this.#ports.link, 'CloudApi.Address': `${HOST}:${this.#list.address().port}`, ...BOUNDS, ...fields }))
    const log = openSync(join(this.#directory, `${name}.log`), 'a')
    const child = spawn(process.execPath, ['--max-old-space-size=128', 'target/papayalead.cjs', role], { cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: process.env.HOME, PAPAYALEAD_SETTINGS: file }, stdio: ['ignore', log, log] })
    closeSync(log)
    this.#children.add(child)
    child.once('exit', (code, signal) => {
      this.#children.delete(child)
      if (!this.#isClosed) this.#record(`${name} ended: ${signal ?? code}`)
    })
    return child
  }
}

/** Fills in a template of deploy/ as the platform does; knows only the placeholders that the templates contain. */
function renderTemplate (role, fields) {
  const text = readFileSync(join(REPOSITORY, 'deploy', `${role}.settings.jsonc`), 'utf8')
  return text.replace(/\{\{([\w.]+?)(\|json)?\}\}/g, (_match, name, json) => json ? JSON.stringify(fields[name]) : String(fields[name]))
}

/** Returns a port that is free on all hosts, below those that the system gives to outgoing connections. */
async function findFreePort (hosts) {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT))
    const results = await Promise.all(hosts.map(host => isFree(host, port)))
    if (!results.includes(false)) return port
  }
}

function isFree (host, port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Sends a request and returns the status of the response; undefined if there is none within a second. */
async function getStatus (url, options = {}) {
  try {
    const response = await fetch(url, { ...options, signal: AbortSignal.timeout(1_000) })
    await response.arrayBuffer()
    return response.status
  } catch {
    return undefined
  }
}
