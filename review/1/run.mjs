// Routers are killed while streams without a length pass through them.
import { randomBytes } from 'node:crypto'
import { RawRunner } from '../RawRunner.mjs'
import { BROKEN, HELD, runCase } from '../runCase.mjs'
import { sendRequest } from '../sendRequest.mjs'
import { sleep } from '../sleep.mjs'

const SEEDS = ['127.0.0.1', '127.0.0.2', '127.0.0.3']
const HOST_NAME = 'a.example'
const ROUTERS = 3
const RUNNERS = 4
const UNFRAMED_RUNNERS = 2
const UNFRAMED_SHARE = 0.05
const WINDOW_MS = 5_000
const PERIOD_MS = 10_000
const KILL_AT_MS = 3_000
const RESTART_AFTER_MS = 2_000
const DURATION_MS = 90_000
const REQUESTS_PER_S = 60
const DEADLINE_MS = 10_000
const EVENTS = 34
const EVENT_INTERVAL_MS = 50

const configuration = {
  Version: 1,
  Routes: [{ Name: 'chat', Host: HOST_NAME, PathPrefix: '/chat/', Kind: 'streaming', TimeoutMs: 10_000, TargetLatencyMs: 500, Priority: 1, Service: 'pool', MaxAttempts: 1, Anonymous: false, SessionAffinity: true, StreamResume: false, ItlTargetMs: 300 }],
  Services: [{ Name: 'pool', HealthPath: '/healthz', MaxConnections: 310, Protocol: 'h1', Tls: false, Engine: { Slots: 48, KvCapacity: 444_000, Models: [{ Name: 'm' }] } }],
  Tenants: [{ Name: 'team', ApiKeys: ['key-of-team'], Priority: 1 }]
}

await runCase(import.meta.url, async ({ fleet, record, hasTrouble }) => {
  /** Streams without a length by attempt: how many events the runner has made, and whether it made all of them. */
  const unframed = new Map()
  let isWindow = false

  const createResponder = isUnframedRunner => async ({ attempt }, socket) => {
    const isUnframed = isUnframedRunner && isWindow && Math.random() < UNFRAMED_SHARE
    const run = { events: 0, isDone: false }
    if (isUnframed) unframed.set(attempt, run)
    record.add(`run ${attempt}${isUnframed ? ' without a length' : ''}`)
    socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Response-Seal: ${randomBytes(8).toString('hex')}\r\nContent-Type: text/event-stream\r\n${isUnframed ? 'Connection: close' : 'Transfer-Encoding: chunked'}\r\n\r\n`)
    while (run.events < EVENTS && !socket.destroyed) {
      const event = `id: ${++run.events}\ndata: ${'t'.repeat(40)}\n\n`
      socket.write(isUnframed ? event : `${event.length.toString(16)}\r\n${event}\r\n`)
      await sleep(EVENT_INTERVAL_MS)
    }
    run.isDone = !socket.destroyed
    if (isUnframed) record.add(`run of ${attempt} ended with event ${run.events}: ${run.isDone ? 'complete' : 'its connection was closed by the router'}`)
    if (isUnframed) socket.end()
    else if (run.isDone) socket.write('0\r\n\r\n')
  }

  await fleet.open({ routers: ROUTERS })
  for (let index = 0; index < RUNNERS; index++) {
    const id = `i-pool-${index}`
    const { port } = await new RawRunner({ id, slots: 48, respond: createResponder(index < UNFRAMED_RUNNERS) }).start()
    fleet.addRunner({ id, service: 'pool', port, slots: 48 })
  }
  for (const host of SEEDS) fleet.startRegistry(host, { seeds: SEEDS, isBootstrap: true })
  for (let index = 0; index < ROUTERS; index++) fleet.startRouter(index, { seeds: SEEDS })
  if (await fleet.sendConfiguration(configuration, { hosts: SEEDS }) === undefined) throw new Error('The configuration was not acknowledged.')
  await fleet.waitUntilReady()
  fleet.startLoadBalancer()

  let wrong = 0
  let complete = 0
  let unframedSeen = 0
  const sendOne = async () => {
    const attempt = randomBytes(8).toString('hex')
    const port = fleet.rotation[Math.floor(Math.random() * fleet.rotation.length)]
    record.add(`sent ${attempt}`)
    const headers = { Host: HOST_NAME, 'X-Attempt-Id': attempt, 'X-Deadline-Ms': DEADLINE_MS, 'Api-Key': 'key-of-team', 'X-Model-Name': 'm', 'X-Token-Count': '1460,170', 'X-Prefix-Hash': `a${Math.floor(Math.random() * 20)}:350,${attempt}:1110` }
    const answer = await sendRequest({ port, path: '/chat/1', headers, timeoutMs: DEADLINE_MS })
    const events = answer.body.split('\n\n').length - 1
    const isComplete = answer.status === 200 && answer.isWhole
    if (answer.framing === 'close') unframedSeen++
    if (isComplete && events === EVENTS) complete++
    const isWrong = isComplete && events < EVENTS
    if (isWrong) wrong++
    record.add(`answered ${attempt} ${answer.status} ${answer.framing}${answer.isWhole ? ' whole' : ' cut'} events ${events}${isWrong ? ` BROKEN: looks complete with ${events} of ${EVENTS} events` : ''}`)
  }

  const kill = async index => {
    fleet.killRouter(index)
    await sleep(RESTART_AFTER_MS)
    fleet.startRouter(index, { seeds: SEEDS })
  }

  const startedAt = Date.now()
  const pending = new Set()
  let kills = 0
  while (Date.now() - startedAt < DURATION_MS) {
    const elapsedMs = Date.now() - startedAt
    isWindow = elapsedMs % PERIOD_MS < WINDOW_MS
    if (hasTrouble && elapsedMs >= kills * PERIOD_MS + KILL_AT_MS) kill(kills++ % ROUTERS)
    const call = sendOne().finally(() => pending.delete(call))
    pending.add(call)
    await sleep(1_000 / REQUESTS_PER_S)
  }
  await Promise.all(pending)
  const cut = [...unframed.values()].filter(({ isDone }) => !isDone).length
  if (complete < 100 || unframedSeen === 0 || (hasTrouble && cut === 0)) throw new Error(`Only ${complete} streams were complete, ${unframedSeen} had no length, ${cut} of them were cut.`)
  return { code: wrong > 0 ? BROKEN : HELD, line: `${wrong} of ${cut} streams without a length that ended with a killed router look complete at the client; ${kills} kills, ${complete} complete streams, ${unframedSeen} without a length.` }
})
