import type { TargetAction } from '../../contract/TargetAction'

/** When a list exceeds this length, its oldest half is dropped, so that a long run does not exhaust memory. */
const MAX_ENTRIES = 50_000

interface RequestEntry {
  requestId: string | null
  path: string
  model: string
  promptHash: number
  prefixHash: number
  isPrefixCached: boolean
  resumeFrom: number
  tokens: number
  status: 'waiting-or-running' | 'complete' | 'cancelled' | 'truncated' | 'crashed'
  /** Arrival time of the request in wall-clock milliseconds since the epoch. */
  atMs: number
}

interface CommandEntry {
  id: string
  action: TargetAction
  fencingToken: number
  isAccepted: boolean
  /** Arrival time of the command in wall-clock milliseconds since the epoch. */
  atMs: number
}

/**
 * @name EngineRecord
 * @category Stand-in
 * @summary Requests and commands that an engine stand-in received; the response to `GET /record`.
 *
 * @example
 * new EngineRecord().convertToJson() // { requestCount: 0, requests: [], commands: [] }
 */
export class EngineRecord {
  #requestCount = 0
  readonly #requests: RequestEntry[] = []
  readonly #commands: CommandEntry[] = []

  /** The caller updates the returned entry until the request ends. */
  addRequest (entry: RequestEntry): RequestEntry {
    this.#requestCount++
    this.#requests.push(entry)
    if (this.#requests.length > MAX_ENTRIES) this.#requests.splice(0, MAX_ENTRIES / 2)
    return entry
  }

  addCommand (entry: CommandEntry): void {
    this.#commands.push(entry)
    if (this.#commands.length > MAX_ENTRIES) this.#commands.splice(0, MAX_ENTRIES / 2)
  }

  convertToJson (): { requestCount: number, requests: RequestEntry[], commands: CommandEntry[] } {
    return { requestCount: this.#requestCount, requests: this.#requests, commands: this.#commands }
  }
}
