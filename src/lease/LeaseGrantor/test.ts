import fc from 'fast-check'
import { LeaseGrantor } from '.'
import { LeaseHolder } from '../LeaseHolder'

const DURATION_MS = 5_000
const MARGIN_MS = 1_000

describe('LeaseGrantor and LeaseHolder', () => {
  it('never expire a lease at the grantor while the holder holds it, despite message delay, message loss and clock drift within the margin', () => {
    const step = fc.record({ afterMs: fc.integer({ min: 0, max: 7_000 }), delayMs: fc.integer({ min: 0, max: 7_000 }), replyDelayMs: fc.integer({ min: 0, max: 7_000 }), isLost: fc.boolean() })
    fc.assert(fc.property(fc.array(step, { maxLength: 20 }), fc.double({ min: 0.9, max: 1.1, noNaN: true }), (steps, clockRate) => {
      const holder = new LeaseHolder({ durationMs: DURATION_MS })
      const grantor = new LeaseGrantor({ durationMs: DURATION_MS, driftMarginMs: MARGIN_MS })
      const events: Array<{ atMs: number, run: () => void }> = []
      let sentAtMs = 0
      for (const { afterMs, delayMs, replyDelayMs, isLost } of steps) {
        sentAtMs += afterMs
        const renewal = sentAtMs
        if (isLost) continue
        events.push({ atMs: renewal + delayMs, run: () => grantor.renew('r', (renewal + delayMs) * clockRate) })
        events.push({ atMs: renewal + delayMs + replyDelayMs, run: () => holder.confirmRenewal(renewal) })
      }
      for (let atMs = 0; atMs < 30_000; atMs += 500) events.push({ atMs, run: () => {} })
      events.sort((a, b) => a.atMs - b.atMs)
      for (const { atMs, run } of events) {
        run()
        if (grantor.listExpired(atMs * clockRate).length > 0) expect(holder.isHeld(atMs)).toBe(false)
      }
    }), { seed: 7, numRuns: 300 })
  })

  it('restarts the leases of known holders after a takeover, so that a renewal at the previous grantor stays valid', () => {
    const grantor = new LeaseGrantor({ durationMs: DURATION_MS, driftMarginMs: MARGIN_MS })
    grantor.renew('r', 0)
    grantor.clear()
    grantor.register('r', 9_000)
    grantor.register('r', 14_000)
    expect([grantor.listExpired(14_999), grantor.listExpired(15_000)]).toEqual([[], ['r']])
  })
})
