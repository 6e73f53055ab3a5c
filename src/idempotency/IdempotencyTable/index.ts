import { IdempotencyCommand } from '../IdempotencyCommand'
import type { IdempotencyRecord } from '../IdempotencyRecord'
import type { IdempotencyResult } from '../IdempotencyResult'
import { IdempotencyState } from '../IdempotencyState'
import { MAX_STORED_BYTES } from '../MAX_STORED_BYTES'
import type { StoredResponse } from '../StoredResponse'
import { restoreMap } from '../../log/restoreMap'

type Command<T extends IdempotencyCommand['type']> = Extract<IdempotencyCommand, { type: T }>

const RETENTION_MS = 24 * 60 * 60 * 1000
const UNKNOWN: StoredResponse = { kind: 'unknown' }

/**
 * @name IdempotencyTable
 * @category Idempotency
 * @summary State machine of the `idempotency` log group: which keyed calls ran, and with which response.
 *
 * @description
 * A record that runs ends by its response or by the end of its router's session, never by age. Ended records are kept
 * for 24 hours. Time is the highest `atMs` of the commands, so that all replicas agree on it. A claim that is applied
 * after its withdrawal or after the end of its session has no effect.
 *
 * @example
 * const table = new IdempotencyTable()
 * table.apply({ type: 'claim', id: 'a/k', digest: 'd', session: 's', attempt: '1', atMs: 0 }, 1) // { status: 'claimed' }
 */
export class IdempotencyTable {
  #offset = 0
  #nowMs = 0
  #grantor?: string
  readonly #records = new Map<string, IdempotencyRecord>()
  /** Ids of the records that run, by session. */
  readonly #running = new Map<string, Set<string>>()
  // Insertion order is order of time, so that eviction looks at the first entries only.
  readonly #ended = new Map<string, number>()
  readonly #withdrawn = new Map<string, number>()
  readonly #endedSessions = new Map<string, number>()

  get offset (): number {
    return this.#offset
  }

  /** The control process that counts leases. */
  get grantor (): string | undefined {
    return this.#grantor
  }

  get size (): number {
    return this.#records.size
  }

  find (id: string): IdempotencyRecord | undefined {
    return this.#records.get(id)
  }

  hasEnded (session: string): boolean {
    return this.#endedSessions.has(session)
  }

  /** Sessions that own records that run. */
  listRunningSessions (): string[] {
    return [...this.#running.keys()]
  }

  apply (command: unknown, offset: number): IdempotencyResult {
    if (offset <= this.#offset) return { status: 'refused' }
    this.#offset = offset
    const parsed = IdempotencyCommand.safeParse(command)
    if (!parsed.success) return { status: 'refused' }
    this.#nowMs = Math.max(this.#nowMs, parsed.data.atMs)
    this.#evictOld()
    return this.#applyCommand(parsed.data)
  }

  getState (): IdempotencyState {
    return {
      offset: this.#offset,
      nowMs: this.#nowMs,
      grantor: this.#grantor,
      records: [...this.#records],
      ended: [...this.#ended],
      withdrawn: [...this.#withdrawn],
      sessions: [...this.#endedSessions]
    }
  }

  install (snapshot: unknown): void {
    const state = IdempotencyState.parse(snapshot)
    if (state.offset < this.#offset) return
    this.#offset = state.offset
    this.#nowMs = state.nowMs
    this.#grantor = state.grantor
    restoreMap(this.#records, state.records)
    restoreMap(this.#ended, state.ended)
    restoreMap(this.#withdrawn, state.withdrawn)
    restoreMap(this.#endedSessions, state.sessions)
    this.#running.clear()
    for (const [id, record] of this.#records) if (!record.response) this.#addRunning(record.session, id)
  }

  #applyCommand (command: IdempotencyCommand): IdempotencyResult {
    switch (command.type) {
      case 'claim': return this.#claim(command)
      case 'complete': return this.#complete(command)
      case 'withdraw': return this.#withdraw(command)
      case 'lead':
        this.#grantor = command.grantor
        return { status: 'done' }
      case 'expire': return this.#expire(command)
    }
  }

  #claim ({ id, digest, session, attempt }: Command<'claim'>): IdempotencyResult {
    if (this.#withdrawn.has(attempt)) return { status: 'withdrawn' }
    const record = this.#records.get(id)
    if (record && record.digest !== digest) return { status: 'conflict' }
    if (record?.response) return { status: 'ended', response: record.response }
    // The reply to the first proposal of this claim may have been lost.
    if (record) return { status: record.attempt === attempt ? 'claimed' : 'running' }
    if (this.#endedSessions.has(session)) return { status: 'session-ended' }
    this.#records.set(id, { digest, session, attempt })
    this.#addRunning(session, id)
    return { status: 'claimed' }
  }

  #complete ({ id, attempt, response }: Command<'complete'>): IdempotencyResult {
    const record = this.#records.get(id)
    if (!record || record.attempt !== attempt) return { status: 'refused' }
    // A response that arrives after the session ended still replaces "unknown": it is the answer of the only run.
    if (record.response && record.response.kind !== 'unknown') return { status: 'done' }
    const isTooLarge = response.kind === 'complete' && response.body.length > MAX_STORED_BYTES
    this.#settle(id, record, isTooLarge ? { kind: 'too-large' } : response)
    return { status: 'done' }
  }

  #withdraw ({ id, attempt }: Command<'withdraw'>): IdempotencyResult {
    const record = this.#records.get(id)
    this.#withdrawn.set(attempt, this.#nowMs)
    if (record?.attempt !== attempt) return { status: 'withdrawn' }
    if (record.response && record.response.kind !== 'unknown') return { status: 'refused' }
    this.#removeRunning(record.session, id)
    this.#records.delete(id)
    this.#ended.delete(id)
    return { status: 'withdrawn' }
  }

  #expire ({ grantor, session }: Command<'expire'>): IdempotencyResult {
    if (grantor !== this.#grantor) return { status: 'refused' }
    this.#endedSessions.set(session, this.#nowMs)
    for (const id of this.#running.get(session) ?? []) this.#settle(id, this.#records.get(id)!, UNKNOWN)
    this.#running.delete(session)
    return { status: 'done' }
  }

  #settle (id: string, record: IdempotencyRecord, response: StoredResponse): void {
    this.#removeRunning(record.session, id)
    this.#records.set(id, { ...record, response })
    this.#ended.delete(id)
    this.#ended.set(id, this.#nowMs)
  }

  #addRunning (session: string, id: string): void {
    const ids = this.#running.get(session) ?? new Set()
    this.#running.set(session, ids.add(id))
  }

  #removeRunning (session: string, id: string): void {
    const ids = this.#running.get(session)
    ids?.delete(id)
    if (ids?.size === 0) this.#running.delete(session)
  }

  #evictOld (): void {
    for (const id of listOlder(this.#ended, this.#nowMs - RETENTION_MS)) {
      this.#ended.delete(id)
      this.#records.delete(id)
    }
    for (const attempt of listOlder(this.#withdrawn, this.#nowMs - RETENTION_MS)) this.#withdrawn.delete(attempt)
    for (const session of listOlder(this.#endedSessions, this.#nowMs - RETENTION_MS)) this.#endedSessions.delete(session)
  }
}

function listOlder (times: Map<string, number>, beforeMs: number): string[] {
  const older: string[] = []
  for (const [key, atMs] of times) {
    if (atMs >= beforeMs) break
    older.push(key)
  }
  return older
}
