import { DateTime } from 'luxon'
import { DrainReport } from '../src/contract/DrainReport'
import { LinkClient } from '../src/link/LinkClient'
import { BookingLoad } from './_lib/BookingLoad'
import { ReadyRouters } from './_lib/ReadyRouters'
import { startFleet } from './_lib/startFleet'
import { StreamLoad } from './_lib/StreamLoad'
import { waitFor } from './_lib/waitFor'

type Fleet = Awaited<ReturnType<typeof startFleet>>

const NO_VIOLATIONS = { duplicateRuns: 0, falseNotRun: 0, falseComplete: 0, mismatchedResponses: 0 }
const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

async function runFleet (options: Parameters<typeof startFleet>[0], run: (fleet: Fleet, load: BookingLoad) => Promise<void>): Promise<void> {
  const load = new BookingLoad()
  const fleet = await startFleet({ accounts: { a: { maxQueued: 1_000 } }, bookings: [{ name: 'b1', zone: 'z1', service: 'booking' }, { name: 'b2', zone: 'z1', service: 'booking' }], ...options })
  try {
    await waitFor('a keyed booking to run', async () => {
      const booking = load.start(fleet.routers[0].url, { isKeyed: true })
      await load.wait()
      return booking.attempts[0].outcome === 'complete'
    })
    await run(fleet, load)
  } finally {
    for (const member of [...fleet.routers, ...fleet.controls]) member.signal('SIGCONT')
    await load.close()
    await fleet.stop()
  }
}

const countAll = (fleet: Fleet, load: BookingLoad) => load.count(fleet.bookings.map(({ url }) => url))
const setBehaviour = (fleet: Fleet, options: object) => Promise.all(fleet.bookings.map(({ url }) => fetch(`${url}/options`, { method: 'PUT', body: JSON.stringify(options) })))
const countRuns = async (fleet: Fleet) => (await Promise.all(fleet.bookings.map(async ({ url }) => (await (await fetch(`${url}/record`)).json() as unknown[]).length))).reduce((a, b) => a + b)

/** Link address of the control process, taken from the fault proxy in front of it. */
const findLinkAddress = (fleet: Fleet) => fleet.proxies.get('r1>c1')!.target!

describe('delivery with real processes', () => {
  it('runs no booking twice and reports no wrong outcome when targets answer late, reset, truncate or never answer', async () => {
    await runFleet({ routersPerZone: 2, settings: { '/teams/t/services/booking': { kind: 'http', deadlineMs: 4_000 } } }, async (fleet, load) => {
      await setBehaviour(fleet, { lateRate: 0.05, lateMs: 300, neverRate: 0.02, resetBeforeRate: 0.05, resetAfterRate: 0.05, truncateRate: 0.05 })
      for (let i = 0; i < 300; i++) {
        load.start(fleet.routers[i % 2].url, { isKeyed: i % 3 === 0 })
        if (i % 10 === 0) await wait(20)
      }
      await load.wait()
      await setBehaviour(fleet, { lateRate: 0, neverRate: 0, resetBeforeRate: 0, resetAfterRate: 0, truncateRate: 0 })
      await load.resendAll(fleet.routers[1].url)
      const counts = await countAll(fleet, load)
      expect(counts).toMatchObject(NO_VIOLATIONS)
      // Faults that hide whether a booking ran affect 17% of the calls.
      expect([counts.complete > 150, counts.unknown > 0]).toEqual([true, true])
    })
  })

  it('runs a keyed booking once and returns its response to each attempt, when it is sent through two routers at the same time and again after it has completed', async () => {
    await runFleet({ routersPerZone: 2, controls: 3 }, async (fleet, load) => {
      await setBehaviour(fleet, { runMs: 150 })
      const before = await countRuns(fleet)
      const bookings = Array.from({ length: 30 }, () => load.start(fleet.routers[0].url, { isKeyed: true }))
      await Promise.all(bookings.map(booking => load.send(booking, fleet.routers[1].url)))
      await load.wait()
      await load.resendAll(fleet.routers[1].url)
      await Promise.all(bookings.map(booking => load.send(booking, fleet.routers[0].url)))
      expect(bookings.flatMap(({ attempts }) => attempts.map(({ outcome }) => outcome)).every(outcome => outcome === 'complete')).toBe(true)
      expect(await countRuns(fleet)).toBe(before + 30)
      expect(await countAll(fleet, load)).toMatchObject({ ...NO_VIOLATIONS, unknown: 0 })
    })
  })

  it('reports some bookings as unknown but none wrongly, and runs none twice, when a router is killed under load and keyed bookings are resent through another router', async () => {
    await runFleet({ routersPerZone: 2 }, async (fleet, load) => {
      await setBehaviour(fleet, { runMs: 40 })
      for (let i = 0; i < 60; i++) {
        load.start(fleet.routers[0].url, { isKeyed: i % 2 === 0 })
        await wait(3)
      }
      await fleet.routers[0].kill()
      await load.wait()
      await load.resendAll(fleet.routers[1].url)
      const counts = await countAll(fleet, load)
      expect(counts).toMatchObject(NO_VIOLATIONS)
      expect([counts.unknown > 0, counts.complete > 20]).toEqual([true, true])
    })
  })

  it('runs no booking that was reported as unknown after the router resumes from a pause longer than its lease, and completes a keyed booking through it again', async () => {
    await runFleet({ routersPerZone: 2 }, async (fleet, load) => {
      // When the router is paused, all bookings are claimed, 16 are sent and the others wait for a slot.
      await setBehaviour(fleet, { runMs: 600 })
      for (let i = 0; i < 40; i++) load.start(fleet.routers[0].url, { isKeyed: true })
      await wait(300)
      fleet.routers[0].signal('SIGSTOP')
      await wait(7_500)
      const resent = load.resendAll(fleet.routers[1].url)
      await wait(500)
      const resumedAtMs = Date.now()
      fleet.routers[0].signal('SIGCONT')
      await resent
      await load.wait()
      const unknown = new Set(load.bookings.filter(({ attempts }) => attempts.at(-1)?.outcome === 'unknown').map(({ nonce }) => nonce))
      const runs = (await Promise.all(fleet.bookings.map(async ({ url }) => (await fetch(`${url}/record`)).json() as Promise<Array<{ atMs: number, body: { nonce: string } }>>))).flat()
      // Bookings that were sent before the pause have run by the time the router resumes.
      expect(runs.filter(({ atMs, body }) => atMs >= resumedAtMs && unknown.has(body.nonce))).toEqual([])
      expect(unknown.size).toBeGreaterThan(0)
      expect(await countAll(fleet, load)).toMatchObject(NO_VIOLATIONS)
      await waitFor('a new session of the resumed router', async () => {
        const booking = load.start(fleet.routers[0].url, { isKeyed: true })
        await load.wait()
        return booking.attempts[0].outcome === 'complete'
      })
    })
  })

  it('refuses keyed bookings as not run without a majority of the control replicas, and continues to serve unkeyed ones', async () => {
    await runFleet({ controls: 3 }, async (fleet, load) => {
      await Promise.all(fleet.controls.slice(0, 2).map(control => control.kill()))
      await wait(6_000)
      const keyed = Array.from({ length: 5 }, () => load.start(fleet.routers[0].url, { isKeyed: true }))
      const unkeyed = Array.from({ length: 5 }, () => load.start(fleet.routers[0].url))
      await load.wait()
      expect(keyed.map(({ attempts }) => attempts[0].outcome)).toEqual(Array(5).fill('not-run'))
      expect(unkeyed.map(({ attempts }) => attempts[0].outcome)).toEqual(Array(5).fill('complete'))
      expect(await countAll(fleet, load)).toMatchObject(NO_VIOLATIONS)
    })
  })

  it('loses no booking and interrupts no stream in a rolling restart under load', async () => {
    const options = { routersPerZone: 3, router: { lameDuckMs: 800 }, engines: [{ name: 'e1', zone: 'z1', service: 'llama', slots: 20, options: { maxBatch: 32, tokenMs: 20 } }] }
    await runFleet(options, async (fleet, load) => {
      const streams = new StreamLoad()
      const ready = new ReadyRouters(fleet.routers.map(({ url }) => url))
      const state = { isRunning: true }
      const bookingLoad = (async () => {
        for (let i = 0; state.isRunning; i++) {
          load.start(ready.choose(i), { isKeyed: i % 2 === 0 })
          if (i % 4 === 0) streams.start(ready.choose(i), 40)
          await wait(15)
        }
      })()
      for (const router of fleet.routers) {
        await router.restart()
        await waitFor('the restarted router to be ready', async () => (await fetch(`${router.url}/readyz`)).ok)
        await wait(300)
      }
      state.isRunning = false
      await bookingLoad
      await Promise.all([load.wait(), streams.wait()])
      ready.stop()
      expect(await countAll(fleet, load)).toMatchObject({ ...NO_VIOLATIONS, unknown: 0, notRun: 0 })
      expect([streams.interrupted, streams.complete > 20]).toEqual([0, true])
    })
  })

  it('sends a target no new work from the start of its maintenance window, also from a router that is partitioned from control, and interrupts no stream', async () => {
    const options = { routersPerZone: 2, engines: [{ name: 'e1', zone: 'z1', service: 'llama', slots: 20, options: { maxBatch: 32, tokenMs: 20 } }] }
    await runFleet(options, async (fleet, load) => {
      const start = DateTime.utc().plus({ seconds: 72 }).startOf('minute')
      const window = (target: string) => ({ targets: [target], weekday: start.weekday, start: start.toFormat('HH:mm'), durationMinutes: 1, timeZone: 'utc' })
      await fleet.apply({ '/teams/t/windows/w1': window('b1'), '/teams/t/windows/w2': window('e1') })
      fleet.partition(['r2'], ['c1'])
      const streams = new StreamLoad()
      await wait(start.toMillis() - Date.now() - 4_500)
      for (let i = 0; Date.now() < start.toMillis() + 2_000; i++) {
        load.start(fleet.routers[i % 2].url)
        // These streams are still running when the window starts.
        if (i < 8) streams.start(fleet.routers[i % 2].url, 250)
        await wait(10)
      }
      await Promise.all([load.wait(), streams.wait()])
      const runs = await (await fetch(`${fleet.bookings[0].url}/record`)).json() as Array<{ atMs: number }>
      expect(runs.filter(({ atMs }) => atMs >= start.toMillis())).toEqual([])
      expect(runs.length).toBeGreaterThan(10)
      expect([streams.interrupted, streams.complete]).toEqual([0, 8])
      expect(await countAll(fleet, load)).toMatchObject({ ...NO_VIOLATIONS, unknown: 0, notRun: 0 })
    })
  }, 150_000)

  it('reports a target that an operator drains as drained only after its streams have completed, and sends a target no new work from 3 s after its health reports draining', async () => {
    const engines = [{ name: 'e1', zone: 'z1', service: 'llama', slots: 20, options: { maxBatch: 32, tokenMs: 40 } }]
    await runFleet({ routersPerZone: 2, engines }, async (fleet, load) => {
      const control = new LinkClient(findLinkAddress(fleet), { identity: { instance: 'test', incarnation: 'test', zone: 'z1', role: 'operator' }, clusterKey: fleet.clusterKey, handlers: new Map() })
      const fetchReport = async (target: string): Promise<DrainReport | undefined> => DrainReport.parse(await control.request('fetchDrainReport', target))
      const streams = new StreamLoad()
      await waitFor('the control leader to know all routers', async () => (await fetchReport('e1').catch(() => undefined))?.waitingFor.length === 2)
      for (let i = 0; i < 4; i++) streams.start(fleet.routers[i % 2].url, 100)
      await wait(200)
      await fleet.apply({ '/teams/t/drains/e1': { reason: 'test' } })
      await wait(1_500)
      expect(await fetchReport('e1')).toMatchObject({ isDrained: false, waitingFor: expect.arrayContaining(['r1', 'r2']) })
      await streams.wait()
      await waitFor('the drained engine', async () => (await fetchReport('e1'))?.isDrained === true)
      expect([streams.interrupted, streams.complete]).toEqual([0, 4])
      await fetch(`${fleet.bookings[0].url}/options`, { method: 'PUT', body: '{"health":"draining"}' })
      const drainingSinceMs = Date.now()
      while (Date.now() < drainingSinceMs + 4_000) {
        load.start(fleet.routers[0].url)
        load.start(fleet.routers[1].url)
        await wait(20)
      }
      await load.wait()
      const runs = await (await fetch(`${fleet.bookings[0].url}/record`)).json() as Array<{ atMs: number }>
      expect(runs.filter(({ atMs }) => atMs >= drainingSinceMs + 3_000)).toEqual([])
      expect(await countAll(fleet, load)).toMatchObject({ ...NO_VIOLATIONS, unknown: 0, notRun: 0 })
      control.close()
    })
  })

  it('completes streams that their engines truncate, without a missing or repeated token', async () => {
    const engines = ['e1', 'e2'].map(name => ({ name, zone: 'z1', service: 'llama', options: { truncateRate: 0.1, tokenMs: 2 } }))
    await runFleet({ engines }, async fleet => {
      const streams = new StreamLoad()
      for (let i = 0; i < 100; i++) {
        streams.start(fleet.routers[0].url, 20)
        await wait(20)
      }
      await streams.wait()
      const records = await Promise.all(fleet.engines.map(async ({ url }) => JSON.stringify(await (await fetch(`${url}/record`)).json())))
      expect(records.join().includes('truncated')).toBe(true)
      expect([streams.wrongTokens, streams.interrupted, streams.complete]).toEqual([0, 0, 100])
    })
  })
})
