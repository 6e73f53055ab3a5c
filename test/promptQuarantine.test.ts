import { setTimeout as wait } from 'node:timers/promises'
import { CrashableEngine } from './_lib/CrashableEngine'
import { CrashTraffic } from './_lib/CrashTraffic'
import { GatewayFleet } from './_lib/GatewayFleet'

const CRASH_PART = 'part-of-death'
const ENGINES = 6
const route = { name: 'r', host: 'a.example', pathPrefix: '/r/', kind: 'stream' as const, timeoutMs: 5_000, priority: 1, split: [{ service: 's', weight: 1 }], maxAttempts: 3, isOpen: false, isResumable: true }
/** The first five crashes may be needed to identify the part; after them three more requests may reach engines. */
const IDENTIFYING_CRASHES = 5
const MAX_LATER_ARRIVALS = 3
const MAX_CRASHES = IDENTIFYING_CRASHES + MAX_LATER_ARRIVALS
/** Time within which all routers in touch know a decision. */
const CONTACT_MS = 3_000
const SOUND_MS = 2_000
/** Longer than an undisturbed stream. */
const STREAM_MS = 500
const CRASHING_MS = 14_000

interface CrashTest {
  fleet: GatewayFleet
  engines: CrashableEngine[]
  traffic: CrashTraffic
}

async function runFleet (options: { registries: number, routers: number }, run: (test: CrashTest) => Promise<void>): Promise<void> {
  const fleet = await GatewayFleet.start(options)
  const engines = Array.from({ length: ENGINES }, (_, index) => new CrashableEngine({
    id: `e${index}`, host: `127.0.1.${index + 1}`, crashPart: CRASH_PART, onStart: entry => { fleet.targets[index] = entry }
  }))
  const traffic = new CrashTraffic({ urls: fleet.urls, crashPart: CRASH_PART })
  try {
    for (const engine of engines) await engine.start()
    await fleet.setDocument({ version: 1, routes: [route], services: [{ name: 's', maxConnections: 100, engine: { slots: 16, memoryTokens: 400_000 } }], accounts: [{ name: 'team', keys: ['k1'] }] })
    await fleet.waitUntilReady()
    await run({ fleet, engines, traffic })
  } finally {
    await traffic.close()
    await fleet.close()
    for (const engine of engines) engine.close()
  }
}

const listCrashes = (engines: CrashableEngine[]): number[] => engines.flatMap(({ crashedAtMs }) => crashedAtMs).sort((a, b) => a - b)

describe('a prompt part that crashes every engine which begins to answer it', () => {
  // Guards against a query of death (BUDGET): calls that share one part, and their retries, crash one engine after the
  // other; and against a cure that refuses sound calls of the same account or with the same other parts (LOST).
  it('is kept from the engines after a few crashes, and sound calls with the other parts go on', async () => {
    await runFleet({ registries: 1, routers: 3 }, async ({ engines, traffic }) => {
      const soundFromMs = performance.now()
      traffic.startSound()
      await wait(SOUND_MS)
      const crashingFromMs = performance.now()
      traffic.startCrashing()
      await wait(CRASHING_MS)
      const endMs = performance.now()
      await wait(1_000)
      const crashes = listCrashes(engines)
      const lateFromMs = (crashes[IDENTIFYING_CRASHES - 1] ?? Infinity) + CONTACT_MS
      const lateArrivals = engines.flatMap(({ arrivedAtMs }) => arrivedAtMs).filter(atMs => atMs > lateFromMs)
      const observedFromMs = Math.min((crashes[IDENTIFYING_CRASHES - 1] ?? crashes.at(-1) ?? crashingFromMs) + 2 * CONTACT_MS, endMs - CONTACT_MS)
      const servedBefore = traffic.computeServedShare(soundFromMs, crashingFromMs - STREAM_MS)
      const servedAfter = traffic.computeServedShare(observedFromMs, endMs)
      expect(servedBefore).toBeGreaterThan(0.9)
      // The part did crash engines; otherwise the test shows nothing.
      expect(crashes.length).toBeGreaterThan(0)
      const measured = { crashes: crashes.length, lateArrivals: lateArrivals.length, servedBefore, servedAfter }
      const failures = [
        crashes.length > MAX_CRASHES && 'crashes',
        lateArrivals.length > MAX_LATER_ARRIVALS && 'late arrivals',
        servedAfter < servedBefore / 2 && 'sound calls'
      ].filter(Boolean)
      expect({ failures, ...measured }).toEqual({ failures: [], ...measured })
    })
  })
})
