import { CallAdmission } from '.'
import { runOverload } from './_lib/runOverload'

/** The router of the simulation serves 66 requests a second. */
const CAPACITY_PER_S = 66
const DURATION_MS = 10_000
const callers = [{ account: 'hot', ratePerS: 4 * CAPACITY_PER_S }, { account: 'small-1', ratePerS: 6 }, { account: 'small-2', ratePerS: 4 }]

describe('CallAdmission', () => {
  // Guards against requests that wait at a hot router until their deadline: one account sends four times as much as the
  // processor time of its router allows, while other routers have room.
  it('refuses within a third of the objective what it can not serve, and serves in time what it accepts', () => {
    const { accounts, longestMs } = runOverload({ callers, durationMs: DURATION_MS, admission: new CallAdmission() })
    const accepted = [...accounts.values()].reduce((sum, account) => sum + account.accepted, 0)
    const inTime = [...accounts.values()].reduce((sum, account) => sum + account.inTime, 0)
    expect(longestMs).toBeLessThan(600)
    expect(inTime).toBe(accepted)
    expect(accepted).toBeGreaterThan(0.5 * CAPACITY_PER_S * DURATION_MS / 1_000)
  })

  // Guards against a hot account that takes all of a router that other accounts use too.
  it('accepts most requests of the accounts that use less than an equal share', () => {
    const { accounts } = runOverload({ callers, durationMs: DURATION_MS, admission: new CallAdmission() })
    for (const name of ['small-1', 'small-2']) {
      const { accepted, sent } = accounts.get(name)!
      expect(accepted).toBeGreaterThan(0.9 * sent)
    }
  })

  // Guards against refusals while the router has processor time: a refusal costs the caller one of few retries.
  it('accepts every request below its capacity, also in short bursts', () => {
    const steady = runOverload({ callers: [{ account: 'a', ratePerS: 30 }, { account: 'b', ratePerS: 15 }], durationMs: DURATION_MS, admission: new CallAdmission() })
    for (const { sent, accepted, inTime } of steady.accounts.values()) expect([accepted, inTime]).toEqual([sent, sent])
  })

  // Guards against refusals after a single long iteration, such as the decoding of a large route document, that many
  // requests have waited for: few of them may be accepted, because each takes processor time.
  it('accepts after one long iteration only as many requests as it can begin in time', () => {
    const admission = new CallAdmission()
    const arrival = { account: 'a', objectiveMs: 600, readMs: 250, iterationMs: 2, busyMs: 250 }
    const verdicts = Array.from({ length: 100 }, () => admission.tryAdmit(arrival, 1_000))
    expect(verdicts[0]).toBe(true)
    expect(verdicts.filter(Boolean).length).toBeLessThan(30)
  })
})
