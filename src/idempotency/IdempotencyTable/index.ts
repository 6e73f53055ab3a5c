import { IdempotencyCommand } from '../IdempotencyCommand'
import type { IdempotencyRecord } from '../IdempotencyRecord'
import type { IdempotencyResult } from '../IdempotencyResult'
import { IdempotencyState } from '../IdempotencyState'
import { MAX_STORED_BYTES } from '../MAX_STORED_BYTES'
import type { StoredResponse } from '../StoredResponse'
import { restoreMap } from '../../log/restoreMap'

type Command<T extends IdempotencyCommand['type']> = Extract<IdempotencyCommand, { type: T }>

const RETENTION_MS = 24 * 60 * 60 * 1000
const UNKNOWN_RESPONSE: StoredResponse = { kind: 'unknown' }

/**
 * @name IdempotencyTable
 * @category Idempotency
 * @summary State machine of the `idempotency` log group: the calls with an idempotency key and their responses.
 *
 * @description
 * The record of a running call ends when its response is stored or when the session of its router ends; it never expires
 * by age. Ended records are kept for 24 hours. The current time is the highest `atMs` of the applied commands, so that
 * all replicas agree on it. A claim that is applied after its withdrawal or after the end of its session has no effect.
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
  /** Ids of the records of running calls, by session. */
  readonly #runningBySession = new Map<string, Set<string>>()
  // These three maps hold the time at which a record ended, an attempt was withdrawn or a session ended. Entries are in
  // order of insertion; eviction starts at the oldest one and stops at the first that is within the retention period.
  readonly #ended = new Map<string, number>()
  readonly #withdrawn = new Map<string, number>()
  readonly #endedSessions = new Map<string, number>()

  get offset (): number {
    return this.#offset
  }

  /** Id of the control process that tracks the leases of sessions. */
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

  /** Lists the sessions that own records of running calls. */
  listRunningSessions (): string[] {
    return [...this.#runningBySession.keys()]
  }

  apply (command: unknown, offset: number): IdempotencyResult {
    if (offset <= this.#offset) return { status: 'refused' }
    this.#offset = offset
    const parsed = IdempotencyCommand.safeParse(command)
    if (!parsed.success) return { status: 'refused' }
    this.#nowMs = Math.max(this.#nowMs, parsed.data.atMs)
    this.#evictExpired()
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
    this.#runningBySession.clear()
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
    // The same attempt may claim again if the reply to its first proposal was lost.
    if (record) return { status: record.attempt === attempt ? 'claimed' : 'running' }
    if (this.#endedSessions.has(session)) return { status: 'session-ended' }
    this.#records.set(id, { digest, session, attempt })
    this.#addRunning(session, id)
    return { status: 'claimed' }
  }

  #complete ({ id, attempt, response }: Command<'complete'>): IdempotencyResult {
    const record = this.#records.get(id)
    if (!record || record.attempt !== attempt) return { status: 'refused' }
    // A response that arrives after the session ended still replaces "unknown": it is the response of the only run.
    if (record.response && record.response.kind !== 'unknown') return { status: 'done' }
    const isTooLarge = response.kind === 'complete' && response.body.length > MAX_STORED_BYTES
    this.#saveResponse(id, record, isTooLarge ? { kind: 'too-large' } : response)
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
    for (const id of this.#runningBySession.get(session) ?? []) this.#saveResponse(id, this.#records.get(id)!, UNKNOWN_RESPONSE)
    this.#runningBySession.delete(session)
    return { status: 'done' }
  }

  #saveResponse (id: string, record: IdempotencyRecord, response: StoredResponse): void {
    this.#removeRunning(record.session, id)
    this.#records.set(id, { ...record, response })
    this.#ended.delete(id)
    this.#ended.set(id, this.#nowMs)
  }

  #addRunning (session: string, id: string): void {
    const ids = this.#runningBySession.get(session) ?? new Set()
    this.#runningBySession.set(session, ids.add(id))
  }

  #removeRunning (session: string, id: string): void {
    const ids = this.#runningBySession.get(session)
    ids?.delete(id)
    if (ids?.size === 0) this.#runningBySession.delete(session)
  }

  #evictExpired (): void {
    for (const id of listOlderKeys(this.#ended, this.#nowMs - RETENTION_MS)) {
      this.#ended.delete(id)
      this.#records.delete(id)
    }
    for (const attempt of listOlderKeys(this.#withdrawn, this.#nowMs - RETENTION_MS)) this.#withdrawn.delete(attempt)
    for (const session of listOlderKeys(this.#endedSessions, this.#nowMs - RETENTION_MS)) this.#endedSessions.delete(session)
  }
}

function listOlderKeys (times: Map<string, number>, beforeMs: number): string[] {
  const older: string[] = []
  for (const [key, atMs] of times) {
    if (atMs >= beforeMs) break
    older.push(key)
  }
  return older
}
