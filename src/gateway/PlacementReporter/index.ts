import type { AdoptedPlacement } from '../../contract/AdoptedPlacement'
import type { PlacementProgress } from '../../contract/PlacementProgress'
import type { RunningPlacement } from '../../contract/RunningPlacement'
import type { Link } from '../../link/Link'

type ProgressEvent = PlacementProgress[number][1]

interface PendingProgress {
  row: PlacementProgress[number]
  link: Link
}

interface PlacedCall {
  /** Link to the scheduler that knows the call; undefined if this router placed it by itself. */
  link: Link | undefined
  placedAtMs: number
  /** Whether a scheduler of the fleet has charged the call to its account. */
  isCounted: boolean
}

/**
 * @name PlacementReporter
 * @category Gateway
 * @summary Reports the placement requests of this router to the scheduler of the fleet, and repairs its copy of them.
 *
 * @description
 * Events are sent once to the scheduler that knows the call, and may be lost with its link or term. Each load report
 * therefore names all requests of this router: the scheduler ends all others, and asks for those that it does not know.
 *
 * @param options - Lists the placed calls that have not ended.
 *
 * @example
 * reporter.add('7', link)
 * reporter.record('7', 'read')
 * reporter.listRequests() // ['7']
 */
export class PlacementReporter {
  readonly #listRunning: () => RunningPlacement[]
  /** Requests that wait for the verdict of a scheduler. */
  readonly #waiting = new Set<string>()
  readonly #calls = new Map<string, PlacedCall>()
  #registeredLink: Link | undefined
  #progress: PendingProgress[] = []
  #unsentProgress = 0

  constructor ({ listRunning }: { listRunning: () => RunningPlacement[] }) {
    this.#listRunning = listRunning
  }

  /** Events that could not be sent, because the link to the scheduler had closed. */
  get unsentProgress (): number {
    return this.#unsentProgress
  }

  /** Records that a request is sent to a scheduler. */
  start (id: string): void {
    this.#waiting.add(id)
  }

  /** Records that no verdict on a request is awaited any longer. */
  settle (id: string): void {
    this.#waiting.delete(id)
  }

  /** Adds a placed call with the link to the scheduler that placed it; undefined if this router did. */
  add (id: string, link: Link | undefined): void {
    this.#calls.set(id, { link, placedAtMs: performance.now(), isCounted: link !== undefined })
  }

  /** Reports the progress of a call to the scheduler that knows it. */
  record (id: string, event: ProgressEvent): void {
    const call = this.#calls.get(id)
    if (event !== 'read') this.#calls.delete(id)
    if (!call?.link) return
    if (this.#progress.length === 0) setImmediate(() => this.#sendProgress())
    const row: PlacementProgress[number] = event === 'read' ? [id, event, performance.now() - call.placedAtMs] : [id, event]
    this.#progress.push({ row, link: call.link })
  }

  /** Reports all calls to a new scheduler, or those that it did not place. Returns their number. */
  register (link: Link): number {
    const isKnown = link === this.#registeredLink
    this.#registeredLink = link
    const unknown = isKnown ? [...this.#calls].flatMap(([id, call]) => call.link ? [] : [id]) : [...this.#calls.keys()]
    if (isKnown && unknown.length === 0) return 0
    return this.#sendCalls(unknown, link)
  }

  /** Reports calls that the scheduler does not know, as far as they still run. It has charged the others to their accounts. */
  report (unknownIds: readonly string[], link: Link): void {
    const unknown = new Set(unknownIds)
    for (const [id, call] of this.#calls) if (call.link === link && !unknown.has(id)) call.isCounted = true
    if (unknownIds.some(id => this.#calls.has(id))) this.#sendCalls(unknownIds, link)
  }

  /** Lists the ids of all requests that wait or run. Events before the list are sent before it. */
  listRequests (): string[] {
    this.#sendProgress()
    return [...this.#waiting, ...this.#calls.keys()]
  }

  #sendCalls (ids: readonly string[], link: Link): number {
    const wanted = new Set(ids)
    const running = wanted.size === 0 ? [] : this.#listRunning().filter(({ request }) => wanted.has(request.id))
    link.send('adoptPlacements', running.map(placement => this.#createAdopted(placement, link)))
    return running.length
  }

  #createAdopted (placement: RunningPlacement, link: Link): AdoptedPlacement {
    const call = this.#calls.get(placement.request.id)
    if (call) call.link = link
    return { ...placement, isCounted: call?.isCounted ?? false }
  }

  #sendProgress (): void {
    const byLink = new Map<Link, PlacementProgress>()
    for (const { row, link } of this.#progress) {
      if (link.isClosed) this.#unsentProgress++
      else byLink.set(link, [...byLink.get(link) ?? [], row])
    }
    this.#progress = []
    for (const [link, progress] of byLink) link.send('reportProgress', progress)
  }
}
