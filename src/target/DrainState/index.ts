import type { MaintenanceWindow } from '../../contract/MaintenanceWindow'
import { findOccurrence } from '../findOccurrence'

interface DrainSettings {
  listWindows: () => ReadonlyArray<MaintenanceWindow>
  isDrainedByOperator: (target: string) => boolean
  subscribe: (listener: () => void) => () => void
}

interface DrainStateOptions {
  settings: DrainSettings
  /** Other sources of a drain: the platform's list, the target's own health response. */
  sources?: ReadonlyArray<{ isDraining: (target: string) => boolean }>
  /** Wall-clock time in milliseconds since the epoch. */
  getNowMs?: () => number
}

interface ScheduledWindow {
  window: MaintenanceWindow
  startMs: number
  endMs: number
}

/** Allows for clock skew between routers, at both ends of a window. */
const CLOCK_MARGIN_MS = 2_000

/**
 * @name DrainState
 * @category Target
 * @summary Decides whether a target accepts new work.
 *
 * @description
 * A target accepts no new work while a maintenance window is active, an operator drains it, the platform's list shows
 * it as leaving, or it reports `draining` itself. Windows are evaluated from the settings and the local clock alone, so
 * a router that is partitioned from control still closes its targets on time.
 *
 * @param options - Settings, other sources, clock.
 *
 * @example
 * const drains = new DrainState({ settings: view, sources: [health] })
 * drains.isTargetOpen('runner-1')
 */
export class DrainState {
  readonly #options: DrainStateOptions
  readonly #getNowMs: () => number
  readonly #unsubscribe: () => void
  #windowsByTarget = new Map<string, ScheduledWindow[]>()

  constructor (options: DrainStateOptions) {
    this.#options = options
    this.#getNowMs = options.getNowMs ?? Date.now
    this.#unsubscribe = options.settings.subscribe(() => this.#rebuildWindows())
    this.#rebuildWindows()
  }

  isTargetOpen (target: string): boolean {
    const { settings, sources = [] } = this.#options
    if (settings.isDrainedByOperator(target) || sources.some(source => source.isDraining(target))) return false
    const nowMs = this.#getNowMs()
    return !this.#windowsByTarget.get(target)?.some(scheduled => isActive(scheduled, nowMs))
  }

  close (): void {
    this.#unsubscribe()
  }

  #rebuildWindows (): void {
    const nowMs = this.#getNowMs()
    this.#windowsByTarget = new Map()
    for (const window of this.#options.settings.listWindows()) {
      const occurrence = findOccurrence(window, nowMs - CLOCK_MARGIN_MS)
      if (!occurrence) continue
      const scheduled = { window, ...occurrence }
      for (const target of window.targets) this.#windowsByTarget.set(target, [...this.#windowsByTarget.get(target) ?? [], scheduled])
    }
  }
}

/**
 * Whether the window is active now. Replaces the stored occurrence by the next one only when it is over, because time
 * zone arithmetic is slow.
 */
function isActive (scheduled: ScheduledWindow, nowMs: number): boolean {
  if (nowMs >= scheduled.endMs + CLOCK_MARGIN_MS) Object.assign(scheduled, findOccurrence(scheduled.window, nowMs - CLOCK_MARGIN_MS))
  return nowMs >= scheduled.startMs - CLOCK_MARGIN_MS && nowMs < scheduled.endMs + CLOCK_MARGIN_MS
}
