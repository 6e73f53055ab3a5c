import type { MaintenanceWindow } from '../../contract/MaintenanceWindow'
import { findOccurrence } from '../findOccurrence'

interface DrainSettings {
  listWindows: () => ReadonlyArray<MaintenanceWindow>
  isDrainedByOperator: (target: string) => boolean
  subscribe: (listener: () => void) => () => void
}

interface DrainStateOptions {
  settings: DrainSettings
  /** Other sources that can close a target: the platform's list, the target's own health. */
  sources?: ReadonlyArray<{ isClosed: (target: string) => boolean }>
  /** Wall-clock time in milliseconds since the epoch. */
  getNowMs?: () => number
}

interface ScheduledWindow {
  window: MaintenanceWindow
  startMs: number
  endMs: number
}

/** Covers the difference between the clocks of routers, at both ends of a window. */
const CLOCK_MARGIN_MS = 2_000

/**
 * @name DrainState
 * @category Target
 * @summary Whether a target may get new work.
 *
 * @description
 * A target is closed while a maintenance window holds, an operator drains it, the platform's list says that it leaves
 * or it reports `draining` itself. Windows are evaluated from the settings and the local clock alone, so a router that
 * is partitioned from control closes its targets in time.
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
    this.#unsubscribe = options.settings.subscribe(() => this.#rebuild())
    this.#rebuild()
  }

  isTargetOpen (target: string): boolean {
    const { settings, sources = [] } = this.#options
    if (settings.isDrainedByOperator(target) || sources.some(source => source.isClosed(target))) return false
    const nowMs = this.#getNowMs()
    return !this.#windowsByTarget.get(target)?.some(scheduled => isActive(scheduled, nowMs))
  }

  close (): void {
    this.#unsubscribe()
  }

  #rebuild (): void {
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

/** Computes the next occurrence only when the known one is over, because time zone arithmetic is slow. */
function isActive (scheduled: ScheduledWindow, nowMs: number): boolean {
  if (nowMs >= scheduled.endMs + CLOCK_MARGIN_MS) Object.assign(scheduled, findOccurrence(scheduled.window, nowMs - CLOCK_MARGIN_MS))
  return nowMs >= scheduled.startMs - CLOCK_MARGIN_MS && nowMs < scheduled.endMs + CLOCK_MARGIN_MS
}
