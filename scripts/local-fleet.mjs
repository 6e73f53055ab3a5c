// Starts a local fleet on loopback addresses: `npm run fleet [-- --once]`. Its files are in .local/fleet.
import { spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join, relative } from 'node:path'
import { createInterface } from 'node:readline'
import { parseArgs } from 'node:util'
import { bundle } from './bundle.mjs'

const HOST = '127.0.0.1'
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const ROUTERS_PER_ZONE = 3
const CLUSTER_KEY = 'local-cluster-key'
const TOKEN = 'local-operator-token'
const CALLER_KEY = 'local-caller-key'
const STOP_TIMEOUT_MS = 20_000
const READY_TIMEOUT_MS = 60_000
const READY_POLL_MS = 100
const LAME_DUCK_MS = 200
const BINARY = 'dist/papayalead.cjs'
const DIRECTORY = join('.local', 'fleet')

/**
 * Module preloaded into each process. Exits when standard input ends: this script holds the other end of that pipe, so
 * the processes also end if the script is killed.
 */
const EXIT_WITH_PARENT = 'data:text/javascript,process.stdin.on("end",()=>process.exit(137)).resume().unref()'

const { values: flags } = parseArgs({ options: { once: { type: 'boolean', default: false } } })
const children = []

async function reservePorts (count) {
  const servers = Array.from({ length: count }, () => createServer().listen(0, HOST))
  await Promise.all(servers.map(server => once(server, 'listening')))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

async function startProcess (name, args) {
  const log = openSync(join(DIRECTORY, `${name}.log`), 'a')
  // Each process has its own process group: Ctrl-C signals only this script, which stops the processes gracefully.
  const child = spawn(process.execPath, ['--import', EXIT_WITH_PARENT, BINARY, ...args], { stdio: ['pipe', 'pipe', log], detached: true })
  child.stdin.on('error', () => {})
  const exit = once(child, 'exit')
  children.push({ name, child, exit })
  const [line] = await Promise.race([
    once(createInterface(child.stdout), 'line'),
    exit.then(([code]) => { throw new Error(`${name} exited with code ${code} before it was ready; see ${join(DIRECTORY, `${name}.log`)}`) })
  ])
  return JSON.parse(line).http
}

async function startInstance (role, settings) {
  const file = join(DIRECTORY, `${settings.instance}.json`)
  writeFileSync(file, JSON.stringify(settings, null, 2))
  return await startProcess(settings.instance, [role, '--config', file])
}

async function runCommand (args) {
  const child = spawn(process.execPath, [BINARY, ...args], { stdio: ['ignore', 'inherit', 'inherit'], env: { ...process.env, ...environment } })
  const [code] = await once(child, 'exit')
  if (code !== 0) throw new Error(`papayalead ${args[0]} exited with code ${code}`)
}

async function stopAll () {
  const stopped = Promise.all(children.map(async ({ child, exit }) => {
    child.kill('SIGTERM')
    await exit
  }))
  const timer = setTimeout(() => children.forEach(({ child }) => child.kill('SIGKILL')), STOP_TIMEOUT_MS)
  await stopped
  clearTimeout(timer)
}

async function waitUntilReady (url) {
  const deadline = Date.now() + READY_TIMEOUT_MS
  while (Date.now() < deadline) {
    const response = await fetch(`${url}/readyz`).catch(() => undefined)
    if (response?.ok) return
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MS))
  }
  throw new Error(`${url} is not ready after ${READY_TIMEOUT_MS} ms`)
}

async function callRouter (url, path, body) {
  const response = await fetch(url + path, { method: 'POST', headers: { authorization: `Bearer ${CALLER_KEY}`, 'content-type': 'application/json' }, body: JSON.stringify(body) })
  const text = await response.text()
  if (!response.ok) throw new Error(`${path}: ${response.status} ${text}`)
  return { status: response.status, outcome: response.headers.get('papayalead-outcome'), text }
}

function createPeers (prefix, count, ports) {
  return Array.from({ length: count }, (_, index) => ({ instance: `${prefix}${index + 1}`, zone: ZONES[index % ZONES.length], host: HOST, port: ports[index] }))
}

function createSettingsDocument (targets) {
  const document = {
    '/teams/demo/accounts/caller': { keyHashes: [createHash('sha256').update(CALLER_KEY).digest('hex')], services: ['*'] },
    '/teams/demo/services/llama': { kind: 'completion', estimate: 16 },
    '/teams/demo/services/booking': { kind: 'http' }
  }
  for (const { name, service, zone, address } of targets) document[`/teams/demo/targets/${name}`] = { service, zone, url: `http://${HOST}:${address.port}`, slots: 8 }
  return document
}

async function startFleet () {
  const routerCount = ZONES.length * ROUTERS_PER_ZONE
  const ports = await reservePorts(ZONES.length + routerCount)
  const replicas = createPeers('c', ZONES.length, ports)
  const routers = createPeers('r', routerCount, ports.slice(ZONES.length))
  const createSettings = ({ instance, zone, port }) => ({ instance, zone, http: { host: HOST, port: 0 }, link: { host: HOST, port }, clusterKey: CLUSTER_KEY })
  const controls = await Promise.all(replicas.map(peer => startInstance('control', { ...createSettings(peer), replicas, dataDir: join(DIRECTORY, peer.instance), bootstrapToken: TOKEN })))
  const fronts = await Promise.all(routers.map(peer => startInstance('router', {
    ...createSettings(peer), control: replicas, routers: routers.filter(other => other !== peer), lameDuckMs: LAME_DUCK_MS, traceFile: join(DIRECTORY, `${peer.instance}.spans.jsonl`)
  })))
  const targets = await Promise.all(ZONES.flatMap(zone => [['engine', 'llama'], ['booking', 'booking']].map(async ([kind, service]) => {
    const name = `${kind}-${zone}`
    return { name, service, zone, address: await startProcess(name, ['stand-in', kind]) }
  })))
  return { controls, routers: routers.map((peer, index) => ({ ...peer, url: `http://${HOST}:${fronts[index].port}` })), targets }
}

function printNextSteps (routers) {
  console.log(`
The fleet is running. Continue in another terminal:

  export PAPAYALEAD_CONTROL=${environment.PAPAYALEAD_CONTROL}
  export PAPAYALEAD_TOKEN=${TOKEN}
  export ROUTER=${routers[0].url}
  alias papayalead='node ${relative(process.cwd(), BINARY)}'

  papayalead status
  papayalead drain engine-zone-a --reason cleaning --wait
  papayalead undrain engine-zone-a --wait
  curl -N $ROUTER/v1/completions -H 'authorization: Bearer ${CALLER_KEY}' -d '{"model":"llama","stream":true,"max_tokens":8}'
  curl $ROUTER/metrics

Logs, settings and spans are in ${DIRECTORY}. Ctrl-C stops the fleet.`)
}

let environment = {}

async function main () {
  await bundle(BINARY)
  rmSync(DIRECTORY, { recursive: true, force: true })
  mkdirSync(DIRECTORY, { recursive: true })
  const { controls, routers, targets } = await startFleet()
  environment = { PAPAYALEAD_CONTROL: controls.map(({ port }) => `http://${HOST}:${port}`).join(','), PAPAYALEAD_TOKEN: TOKEN }
  console.log(`Started ${controls.length} control replicas, ${routers.length} routers and ${targets.length} stand-ins in ${ZONES.join(', ')}.`)
  const file = join(DIRECTORY, 'settings.jsonc')
  writeFileSync(file, JSON.stringify(createSettingsDocument(targets), null, 2))
  await runCommand(['apply', file, '--wait'])
  await Promise.all(routers.map(({ url }) => waitUntilReady(url)))
  const completion = await callRouter(routers[0].url, '/v1/completions', { model: 'llama', prompt: 'hello', stream: true, max_tokens: 8 })
  const events = completion.text.split('\n').filter(line => line.startsWith('data: '))
  if (events.at(-1) !== 'data: [DONE]') throw new Error(`The streamed completion is truncated: the last of its ${events.length} events is not [DONE].`)
  console.log(`A streamed completion through ${routers[0].instance}: status ${completion.status}, ${events.length} events, the last one is [DONE].`)
  const last = routers.at(-1)
  const booking = await callRouter(last.url, '/services/booking/bookings', { pool: 7, treatment: 'shock' })
  console.log(`A booking through ${last.instance}: status ${booking.status}, outcome ${booking.outcome}, ${booking.text.trim()}.`)
  await runCommand(['status'])
  if (flags.once) return
  printNextSteps(routers)
  await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')])
}

try {
  await main()
} catch (error) {
  console.error(error.message)
  process.exitCode = 1
} finally {
  await stopAll()
  console.log('The fleet has stopped.')
}
