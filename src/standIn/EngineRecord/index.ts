import type { TargetAction } from '../../contract/TargetAction'

/** Entries of each list beyond this number replace the oldest, so that a long run does not exhaust memory. */
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
  status: 'waiting-or-running' | 'complete' | 'cancelled' | 'truncated'
  atMs: number
}

interface CommandEntry {
  id: string
  action: TargetAction
  fencingToken: number
  isAccepted: boolean
  atMs: number
}

/**
 * @name EngineRecord
 * @category Stand-in
 * @summary What an engine stand-in ran; the answer of `GET /record`.
 *
 * @description
 * `atMs`: wall-clock milliseconds since the epoch at which the request or command arrived.
 *
 * @example
 * new EngineRecord().convertToJson() // { requestCount: 0, requests: [], commands: [] }
 */
export class EngineRecord {
  #requestCount = 0
  readonly #requests: RequestEntry[] = []
  readonly #commands: CommandEntry[] = []

  /** The entry may be changed until its request ends. */
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
