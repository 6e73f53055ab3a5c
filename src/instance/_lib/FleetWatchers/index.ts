import type { FleetView } from '../../../contract/FleetView'
import type { WatchFleetRequest } from '../../../contract/WatchFleetRequest'

interface FleetWatchersOptions {
  /** View of the fleet that the watcher would receive now. */
  getView: (request: WatchFleetRequest) => FleetView
}

/** Long polls of routers that wait for a newer route document or another list of targets. */
export class FleetWatchers {
  readonly #options: FleetWatchersOptions
  readonly #waiters = new Set<() => void>()

  constructor (options: FleetWatchersOptions) {
    this.#options = options
  }

  async watch (request: WatchFleetRequest): Promise<FleetView> {
    const endsAtMs = performance.now() + request.waitMs
    let view = this.#options.getView(request)
    while (!hasChanges(view, request) && performance.now() < endsAtMs) {
      await this.#wait(endsAtMs - performance.now())
      view = this.#options.getView(request)
    }
    return view
  }

  /** Makes all waiting long polls check for changes. */
  notify (): void {
    for (const resume of [...this.#waiters]) resume()
  }

  #wait (waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const resume = (): void => {
        clearTimeout(timer)
        this.#waiters.delete(resume)
        resolve()
      }
      const timer = setTimeout(resume, waitMs)
      this.#waiters.add(resume)
    })
  }
}

function hasChanges (view: FleetView, request: WatchFleetRequest): boolean {
  return view.version > request.version || view.targets !== undefined
}
