import type { PlacementProgress } from '../../contract/PlacementProgress'
import type { PlacementRequest } from '../../contract/PlacementRequest'
import type { PlacementVerdict } from '../../contract/PlacementVerdict'
import type { SuspectPart } from '../../contract/SuspectPart'
import type { ComponentLogger } from '../../telemetry/ComponentLogger'
import type { Crash } from '../Crash'
import { CrashDetector } from '../CrashDetector'
import type { PromptQuarantine } from '../PromptQuarantine'

interface CrashMonitorOptions {
  quarantine: PromptQuarantine
  logger: ComponentLogger
}

type BlockedVerdict = Extract<PlacementVerdict, { type: 'blocked' }>

/** Refused callers are told to retry no earlier than after this time, also shortly before the end of a block. */
const MIN_RETRY_AFTER_S = 1
/** Bounds the length of a log line. */
const MAX_LOGGED_SUSPECTS = 20

/**
 * @name CrashMonitor
 * @category Routing
 * @summary Follows the calls of a scheduler, reports crashes of targets to the quarantine and refuses blocked prompts.
 *
 * @description
 * Logs when a part is blocked, probed or cleared. Times are milliseconds of a monotonic clock.
 *
 * @example
 * const monitor = new CrashMonitor({ quarantine, logger })
 * monitor.findRefusal(request, nowMs) // undefined if the request may be placed
 */
export class CrashMonitor {
  readonly #options: CrashMonitorOptions
  readonly #detector = new CrashDetector()

  constructor (options: CrashMonitorOptions) {
    this.#options = options
  }

  /** Returns the verdict that refuses the request because of a blocked part. */
  findRefusal (request: PlacementRequest, nowMs: number): BlockedVerdict | undefined {
    this.#update(nowMs)
    const blocked = this.#options.quarantine.findBlocked(request, nowMs)
    if (!blocked) return undefined
    return { type: 'blocked', part: blocked.part, crashes: blocked.crashes, retryAfterS: Math.max(MIN_RETRY_AFTER_S, blocked.blockedMs / 1e3) }
  }

  /** Records that this scheduler has placed a request. */
  recordPlacement (request: PlacementRequest, target: string, nowMs: number): void {
    const probed = this.#options.quarantine.recordPlacement(request, nowMs)
    if (probed) this.#log('A request probes whether a prompt part still crashes targets.', probed, { requestId: request.callId, target })
  }

  /** Starts to follow a call; `isRead` if its answer began before. */
  start ({ id, service, parts }: PlacementRequest, { target, isRead }: { target: string, isRead: boolean }, nowMs: number): void {
    this.#detector.start(id, { service, parts, target, isRead }, nowMs)
  }

  record (id: string, event: PlacementProgress[number][1], nowMs: number): void {
    this.#update(nowMs)
    const crash = this.#detector.record(id, event, nowMs)
    if (crash) this.#recordCrash(crash, nowMs)
  }

  #recordCrash (crash: Crash, nowMs: number): void {
    const suspects = [...new Set(crash.prompts.flatMap(parts => parts.slice(0, -1).map(({ id }) => id)))]
    const { service, target } = crash
    this.#options.logger.warn('A target crashed.', { service, target, requests: crash.prompts.length, suspects: suspects.slice(0, MAX_LOGGED_SUSPECTS) })
    for (const blocked of this.#options.quarantine.recordCrash(crash, nowMs)) {
      const others = suspects.filter(part => part !== blocked.part).slice(0, MAX_LOGGED_SUSPECTS)
      this.#log('A prompt part is blocked, because targets crash when they answer requests with it.', blocked, { otherSuspects: others })
    }
  }

  /** Concludes what time has decided since the last event. */
  #update (nowMs: number): void {
    for (const crash of this.#detector.takeOverdueCrashes(nowMs)) this.#recordCrash(crash, nowMs)
    for (const { service, parts, readMs } of this.#detector.takeAnswered(nowMs)) {
      for (const cleared of this.#options.quarantine.recordAnswer({ service, parts }, readMs)) this.#log('A prompt part was answered and is no longer blocked.', cleared)
    }
  }

  #log (message: string, { service, part, crashes, targets, blockedMs }: SuspectPart, fields: object = {}): void {
    this.#options.logger.warn(message, { service, part, crashes, targets, blockedMs: Math.round(blockedMs), ...fields })
  }
}
