import type { PromptPart } from '../../../../contract/PromptPart'
import { CrashDetector } from '../../../CrashDetector'
import type { CrashDay } from '../CrashDay'
import type { CrashDayResult } from '../CrashDayResult'
import type { PromptQuarantine } from '../..'

interface Attempt {
  id: string
  parts: PromptPart[]
  target: number
  isBad: boolean
  router: number
  isOver: boolean
  /** Sends the request to another target after this attempt was lost. */
  retry: () => void
  handleRead: () => void
}

interface Target {
  isDown: boolean
  /** Time until which the scheduler places nothing here. */
  avoidedUntilMs: number
  running: Set<Attempt>
}

const END_MS = 72_000
const BAD_FROM_MS = 10_000
/** The crashes before the first block, and by early probes, are within this time. */
const ONSET_MS = 10_000
const SOUND_RATE = 100
const MIN_BAD_GAP_MS = 400
const MAX_BAD_GAP_MS = 1_000
const ROUTERS = 9
const service = 's'

/** Runs the detector and a quarantine against simulated targets, and measures both rules that guard the fleet. */
export function runCrashDay (day: CrashDay, quarantine: PromptQuarantine): CrashDayResult {
  const { random } = day
  const detector = new CrashDetector()
  const targets: Target[] = Array.from({ length: day.targets }, () => ({ isDown: false, avoidedUntilMs: 0, running: new Set() }))
  const agenda: Array<Array<() => void>> = Array.from({ length: END_MS }, () => [])
  const badCrashesMs: number[] = []
  const badSentMs: number[] = []
  const sound: Array<{ atMs: number, isBegun: boolean, isRefused: boolean }> = []
  /** Time of the first refusal because of each part since a request with it was sent. */
  const refusals = new Map<string, number>()
  let longestBlockMs = 0
  let nowMs = 0
  let nextId = 0
  const schedule = (delayMs: number, run: () => void): void => { agenda[Math.max(nowMs, Math.round(nowMs + delayMs))]?.push(run) }
  const chooseBetween = (least: number, most: number): number => least + random() * (most - least)
  const badPart = day.badPosition === 0 ? 'a0' : 'b0'

  const record = (attempt: Attempt, event: 'read' | 'ended' | 'lost' | 'unreachable'): void => {
    const crash = detector.record(attempt.id, event, nowMs)
    if (event === 'unreachable') targets[attempt.target].avoidedUntilMs = nowMs + 2_000
    if (crash) quarantine.recordCrash(crash, nowMs)
  }
  const stopAttempt = (attempt: Attempt, event: 'ended' | 'lost'): void => {
    if (attempt.isOver) return
    attempt.isOver = true
    targets[attempt.target].running.delete(attempt)
    record(attempt, event)
    if (event === 'lost') attempt.retry()
  }
  const stopTarget = (index: number, downMs: number): void => {
    const target = targets[index]
    if (target.isDown) return
    target.isDown = true
    schedule(downMs, () => { target.isDown = false })
    // One router is busy: it reports later than the others.
    const busyRouter = Math.floor(random() * ROUTERS * 5)
    for (const attempt of target.running) schedule(chooseBetween(0, 40) + (attempt.router === busyRouter ? 200 : 0), () => stopAttempt(attempt, 'lost'))
    target.running = new Set()
  }
  const chooseTarget = (key: string, excluded: number | undefined): number | undefined => {
    const open = targets.flatMap(({ avoidedUntilMs }, index) => index === excluded || avoidedUntilMs > nowMs ? [] : [index])
    const hash = [...key].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) >>> 0, 7)
    const near = [open[hash % open.length], open[(hash * 7 + 3) % open.length]]
    const choice = random() < 0.8 ? near : [Math.floor(random() * open.length), Math.floor(random() * open.length)].map(index => open[index])
    return targets[choice[0]]?.running.size <= targets[choice[1]]?.running.size ? choice[0] : choice[1]
  }
  const recordRefusal = (part: string): void => {
    const firstMs = refusals.get(part) ?? nowMs
    refusals.set(part, firstMs)
    if (part !== badPart || day.badPosition === undefined) longestBlockMs = Math.max(longestBlockMs, nowMs - firstMs)
  }

  const send = (parts: PromptPart[], options: { isBad: boolean, attempts: number, excluded?: number, onRead?: () => void, onRefused?: (retryMs: number) => void }): void => {
    const { isBad, attempts, excluded, onRead, onRefused } = options
    for (const crash of detector.takeOverdueCrashes(nowMs)) quarantine.recordCrash(crash, nowMs)
    for (const { parts, readMs } of detector.takeAnswered(nowMs)) quarantine.recordAnswer({ service, parts }, readMs)
    const blocked = quarantine.findBlocked({ service, parts }, nowMs)
    if (blocked) {
      recordRefusal(blocked.part)
      return onRefused?.(Math.max(1_000, blocked.blockedMs))
    }
    for (const { id } of parts) refusals.delete(id)
    const index = chooseTarget(parts[1].id, excluded)
    if (index === undefined) return
    const attempt: Attempt = {
      id: String(nextId++),
      parts,
      target: index,
      isBad,
      router: Math.floor(random() * ROUTERS),
      isOver: false,
      retry: () => { if (attempts > 1) schedule(5, () => send(parts, { isBad, attempts: attempts - 1, excluded: index })) },
      handleRead: () => onRead?.()
    }
    detector.start(attempt.id, { service, parts, target: `t${index}` }, nowMs)
    quarantine.recordPlacement({ service, parts }, nowMs)
    if (isBad) badSentMs.push(nowMs)
    schedule(chooseBetween(2, 10), () => handleArrival(attempt, options))
  }
  const handleArrival = (attempt: Attempt, options: Parameters<typeof send>[1]): void => {
    const target = targets[attempt.target]
    if (target.isDown) {
      attempt.isOver = true
      record(attempt, 'unreachable')
      return send(attempt.parts, { ...options, excluded: attempt.target })
    }
    target.running.add(attempt)
    schedule(chooseBetween(60, 350), () => handleFirstToken(attempt))
  }
  const handleFirstToken = (attempt: Attempt): void => {
    const target = targets[attempt.target]
    if (!target.running.has(attempt)) return
    if (!attempt.isBad || random() < 0.5) {
      record(attempt, 'read')
      attempt.handleRead()
    }
    if (attempt.isBad) {
      return schedule(chooseBetween(0, 50), () => {
        if (!target.running.has(attempt)) return
        badCrashesMs.push(nowMs)
        stopTarget(attempt.target, chooseBetween(2_000, 5_000))
      })
    }
    const isTruncated = random() < (day.truncatedShare ?? 0)
    const durationMs = chooseBetween(200, 3_000)
    schedule(isTruncated ? random() * durationMs : durationMs, () => { if (target.running.has(attempt)) stopAttempt(attempt, isTruncated ? 'lost' : 'ended') })
  }

  const chooseParts = (isBad: boolean): PromptPart[] => {
    // Sound requests do not have the part, unless they come before it turns bad.
    const isKept = day.badPosition !== undefined && !(day.wasSound && nowMs < BAD_FROM_MS)
    const choose = (letter: string, count: number, position: number): string => {
      if (isBad && day.badPosition === position) return badPart
      const least = isKept && day.badPosition === position ? 1 : 0
      return letter + (least + Math.floor(random() * (count - least)))
    }
    return [{ id: choose('a', day.firstParts, 0), tokens: 800 }, { id: choose('b', day.secondParts, 1), tokens: 2_000 }, { id: `own${nextId++}`, tokens: 100 }]
  }
  const sendSound = (): void => {
    schedule(-Math.log(1 - random()) * 1e3 / SOUND_RATE, sendSound)
    const call = { atMs: nowMs, isBegun: false, isRefused: false }
    sound.push(call)
    const parts = chooseParts(false)
    send(parts, {
      isBad: false,
      attempts: 2,
      onRead: () => { call.isBegun = true },
      onRefused: retryMs => {
        call.isRefused = true
        schedule(Math.min(retryMs, 2_000), () => send(parts, { isBad: false, attempts: 2 }))
      }
    })
  }
  const sendBad = (): void => {
    schedule(chooseBetween(MIN_BAD_GAP_MS, MAX_BAD_GAP_MS), sendBad)
    send(chooseParts(true), { isBad: true, attempts: 2 })
  }
  const stopRandomTarget = (): void => {
    schedule(-Math.log(1 - random()) * 1e3 / day.randomCrashes!, stopRandomTarget)
    stopTarget(Math.floor(random() * day.targets), chooseBetween(2_000, 5_000))
  }

  schedule(0, sendSound)
  if (day.badPosition !== undefined) schedule(BAD_FROM_MS, sendBad)
  if (day.randomCrashes) schedule(1_000, stopRandomTarget)
  for (const lossMs of day.zoneLossesMs ?? []) {
    for (let index = 0; index < day.targets; index += 3) schedule(lossMs + random() * 50, () => stopTarget(index, chooseBetween(4_000, 6_000)))
  }
  for (; nowMs < END_MS; nowMs++) for (const run of agenda[nowMs]) run()

  const computeBegun = (fromMs: number, toMs: number): number => {
    const calls = sound.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
    return calls.filter(({ isBegun }) => isBegun).length / calls.length
  }
  const fifthMs = badCrashesMs[4] ?? Infinity
  const lastMs = badCrashesMs.filter(crashedMs => crashedMs < BAD_FROM_MS + ONSET_MS).at(-1) ?? BAD_FROM_MS
  return {
    crashes: badCrashesMs.length,
    sentAfterFifth: badSentMs.filter(sentMs => sentMs > fifthMs + 3_000).length,
    begunBefore: computeBegun(1_000, BAD_FROM_MS),
    begunAfter: computeBegun(lastMs + 6_000, END_MS - 1_000),
    longestBlockMs,
    refusedShare: sound.filter(({ isRefused }) => isRefused).length / sound.length
  }
}
