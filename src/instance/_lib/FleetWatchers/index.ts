import type { FleetView } from '../../../contract/FleetView'
import type { WatchFleetRequest } from '../../../contract/WatchFleetRequest'

interface FleetWatchersOptions {
  /** What a watcher would be told now. */
  getView: (request: WatchFleetRequest) => FleetView
}

/** Routers that wait for a newer route document or another list of targets. */
export class FleetWatchers {
  readonly #options: FleetWatchersOptions
  readonly #waiting = new Set<() => void>()

  constructor (options: FleetWatchersOptions) {
    this.#options = options
  }

  async watch (request: WatchFleetRequest): Promise<FleetView> {
    const endsAtMs = performance.now() + request.waitMs
    let view = this.#options.getView(request)
    while (!hasNews(view, request) && performance.now() < endsAtMs) {
      await this.#wait(endsAtMs - performance.now())
      view = this.#options.getView(request)
    }
    return view
  }

  notify (): void {
    for (const resume of [...this.#waiting]) resume()
  }

  #wait (waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const resume = (): void => {
        clearTimeout(timer)
        this.#waiting.delete(resume)
        resolve()
      }
      const timer = setTimeout(resume, waitMs)
      this.#waiting.add(resume)
    })
  }
}

function hasNews (view: FleetView, request: WatchFleetRequest): boolean {
  return view.version > request.version || view.targets !== undefined
}
