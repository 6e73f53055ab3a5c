import { setTimeout as wait } from 'node:timers/promises'
import { Agent } from 'undici'
import { createRandom } from '../../standIn/createRandom'
import type { CallPlan } from '../CallPlan'
import { createCallPlanner } from '../createCallPlanner'
import type { LoadGroup } from '../LoadGroup'
import type { LoadReport } from '../LoadReport'
import type { LoadSettings } from '../LoadSettings'
import { LoadStatistics } from '../LoadStatistics'
import { sendCall } from '../sendCall'

const RESEND_DELAY_MS = 200
const GROUP_SEED_STEP = 7_919

type Booking = NonNullable<LoadReport['bookings']>[number]

/**
 * @name runLoad
 * @category Load
 * @summary Runs the load generator and returns its report.
 *
 * @description
 * All groups run concurrently. After its last request, an open loop waits for the outstanding responses.
 *
 * @param settings - Settings of the run.
 * @returns The report.
 *
 * @example
 * const report = await runLoad(LoadSettings.parse({ urls, groups }))
 */
export async function runLoad (settings: LoadSettings): Promise<LoadReport> {
  const agent = new Agent({ pipelining: 1, headersTimeout: settings.timeoutMs, bodyTimeout: settings.timeoutMs })
  const statistics = new LoadStatistics(settings.seed)
  const bookings: Booking[] = []
  const startedAtMs = performance.now()
  await Promise.all(settings.groups.map(async (group, index) => {
    await wait(group.startMs)
    const random = createRandom(settings.seed + index * GROUP_SEED_STEP)
    const planCall = createCallPlanner(group, { urls: settings.urls, isDirect: settings.isDirect, idPrefix: `${settings.seed}-${index}`, random })
    const runCall = (plan: CallPlan, plannedAtMs: number): Promise<void> => sendAndRecord(plan, plannedAtMs, group)
    await (group.loop === 'open' ? runOpenLoop(group, random, planCall, runCall) : runClosedLoop(group, planCall, runCall))
  }))
  const report = statistics.createReport((performance.now() - startedAtMs) / 1_000)
  await agent.destroy()
  return settings.listsBookings ? { ...report, bookings } : report

  async function sendAndRecord (plan: CallPlan, plannedAtMs: number, group: LoadGroup): Promise<void> {
    const { timeoutMs, verifiesTokens } = settings
    const hasKey = 'idempotency-key' in plan.headers
    let attempts = 1
    let result = await sendCall(plan, { agent, timeoutMs, verifiesTokens, plannedAtMs })
    statistics.record(plan, result)
    const maxResends = hasKey ? group.resends : 0
    while (result.outcome !== 'complete' && attempts <= maxResends) {
      await wait(RESEND_DELAY_MS)
      const url = settings.urls[attempts % settings.urls.length]
      result = await sendCall({ ...plan, url }, { agent, timeoutMs, verifiesTokens, plannedAtMs: performance.now() })
      statistics.record(plan, result)
      attempts++
    }
    if (plan.kind === 'booking' && settings.listsBookings) bookings.push({ id: plan.id, account: plan.account, hasKey, outcome: result.outcome, attempts })
  }
}

type RunCall = (plan: CallPlan, plannedAtMs: number) => Promise<void>

async function runOpenLoop (group: LoadGroup, random: () => number, planCall: () => CallPlan, runCall: RunCall): Promise<void> {
  const startedAtMs = performance.now()
  const running = new Set<Promise<void>>()
  let dueInMs = 0
  for (let sent = 0; sent < group.maxRequests; sent++) {
    dueInMs += (group.arrivals === 'poisson' ? -Math.log(1 - random()) : 1) * 1_000 / group.rate
    if (dueInMs >= group.durationMs) break
    const plannedAtMs = startedAtMs + dueInMs
    const delayMs = plannedAtMs - performance.now()
    if (delayMs > 0) await wait(delayMs)
    const call = runCall(planCall(), plannedAtMs).finally(() => running.delete(call))
    running.add(call)
  }
  await Promise.all(running)
}

async function runClosedLoop (group: LoadGroup, planCall: () => CallPlan, runCall: RunCall): Promise<void> {
  const endAtMs = performance.now() + group.durationMs
  let sent = 0
  const runCaller = async (): Promise<void> => {
    while (sent < group.maxRequests && performance.now() < endAtMs) {
      sent++
      await runCall(planCall(), performance.now())
      if (group.thinkMs > 0) await wait(group.thinkMs)
    }
  }
  await Promise.all(Array.from({ length: group.concurrency }, runCaller))
}
