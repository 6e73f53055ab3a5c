import { z } from 'zod'
import { TargetCommandRecord } from '../../contract/TargetCommandRecord'
import type { TargetCommandReply } from '../../contract/TargetCommandReply'
import type { WeightStore } from '../../contract/WeightStore'

const Entry = z.object({
  target: z.string(),
  sender: z.string(),
  isWeightLoad: z.boolean(),
  token: z.number(),
  intendedAtMs: z.number(),
  result: z.enum(['done', 'failed', 'unknown']).optional()
})
type Entry = z.infer<typeof Entry>

const State = z.object({
  offset: z.number(),
  entries: z.array(z.tuple([z.string(), Entry])),
  newestByTarget: z.array(z.tuple([z.string(), z.string()])),
  availableLoads: z.number(),
  refilledAtMs: z.number()
})

/**
 * A load without a result no longer counts towards the weight store's limit of concurrent loads after this time, because
 * its sender is assumed to have failed.
 */
const LOAD_EXPIRY_MS = 600_000
/**
 * Commands are kept so that a resend gets the recorded result. Above this number, the oldest finished commands are
 * evicted, except the newest command of each target.
 */
const MAX_ENTRIES = 10_000
const MINUTE_MS = 60_000

/**
 * @name TargetCommandTable
 * @category Target
 * @summary State machine of the `commands` log group: fencing tokens, intents, results and the weight store's limits.
 *
 * @description
 * The fencing token of a command is the log offset of its intent (after a wait, of its confirmation), so it increases
 * from command to command. Weight loads are limited over the whole fleet by the number of concurrent loads and by a
 * token bucket, which is refilled according to the times in the records. The table is deterministic: it uses only the
 * record, the offset and its own state.
 *
 * @example
 * table.apply({ type: 'intend', id: 'c1', target: 'e1', action, sender: 's1', atMs: 0 }, 17)
 * // { status: 'granted', token: 17, mustWait: false }
 */
export class TargetCommandTable {
  #offset = 0
  #entries = new Map<string, Entry>()
  #newestByTarget = new Map<string, string>()
  #availableLoads = Infinity
  #refilledAtMs = 0

  get offset (): number {
    return this.#offset
  }

  apply (command: unknown, offset: number): TargetCommandReply {
    this.#offset = Math.max(this.#offset, offset)
    const record = TargetCommandRecord.safeParse(command)
    if (!record.success) return { status: 'invalid', reason: 'The record does not have the expected form.' }
    if (record.data.type === 'intend') return this.#applyIntent(record.data, offset)
    if (record.data.type === 'confirm') return this.#applyConfirmation(record.data.id, offset)
    return this.#applyResult(record.data)
  }

  /** Result of a command, `pending` while it has none, undefined if the id is unknown. */
  getResult (id: string): 'done' | 'failed' | 'unknown' | 'pending' | undefined {
    const entry = this.#entries.get(id)
    return entry && (entry.result ?? 'pending')
  }

  /** Snapshot of the table. -1 available loads stand for Infinity, the initial value. */
  getState (): unknown {
    return {
      offset: this.#offset,
      entries: [...this.#entries],
      newestByTarget: [...this.#newestByTarget],
      availableLoads: Number.isFinite(this.#availableLoads) ? this.#availableLoads : -1,
      refilledAtMs: this.#refilledAtMs
    }
  }

  install (snapshot: unknown): void {
    const state = State.parse(snapshot)
    if (state.offset < this.#offset) return
    this.#offset = state.offset
    this.#entries = new Map(state.entries)
    this.#newestByTarget = new Map(state.newestByTarget)
    this.#availableLoads = state.availableLoads < 0 ? Infinity : state.availableLoads
    this.#refilledAtMs = state.refilledAtMs
  }

  #applyIntent (record: Extract<TargetCommandRecord, { type: 'intend' }>, offset: number): TargetCommandReply {
    const existing = this.#entries.get(record.id)
    // A command without a result may have run, so a resend of it must not run it again.
    if (existing) return { status: 'recorded', result: existing.result ?? 'unknown' }
    const isWeightLoad = record.action.kind !== 'change-role'
    const retryAfterMs = isWeightLoad && record.limits ? this.#admitLoad(record.limits, record.atMs) : 0
    if (retryAfterMs > 0) return { status: 'limited', retryAfterMs }
    const previous = this.#entries.get(this.#newestByTarget.get(record.target) ?? '')
    const mustWait = previous !== undefined && (previous.result === undefined || previous.result === 'unknown')
    this.#entries.set(record.id, { target: record.target, sender: record.sender, isWeightLoad, token: offset, intendedAtMs: record.atMs })
    this.#newestByTarget.set(record.target, record.id)
    this.#evictEntries()
    return { status: 'granted', token: offset, mustWait }
  }

  #applyConfirmation (id: string, offset: number): TargetCommandReply {
    const entry = this.#entries.get(id)
    if (!entry || entry.result || this.#newestByTarget.get(entry.target) !== id) return { status: 'superseded' }
    entry.token = offset
    return { status: 'granted', token: offset, mustWait: false }
  }

  #applyResult (record: Extract<TargetCommandRecord, { type: 'finish' }>): TargetCommandReply {
    const entry = this.#entries.get(record.id)
    if (!entry) return { status: 'invalid', reason: 'No intent has this id.' }
    entry.result ??= record.result
    return { status: 'recorded', result: entry.result }
  }

  /** Returns 0 if the weight store's limits admit the load now, otherwise milliseconds until a retry may succeed. */
  #admitLoad (limits: WeightStore, atMs: number): number {
    const runningLoads = [...this.#entries.values()].filter(entry => entry.isWeightLoad && !entry.result && atMs - entry.intendedAtMs < LOAD_EXPIRY_MS)
    if (runningLoads.length >= limits.maxConcurrentLoads) return MINUTE_MS / limits.loadsPerMinute
    const elapsedMs = Math.max(0, atMs - this.#refilledAtMs)
    this.#refilledAtMs = Math.max(atMs, this.#refilledAtMs)
    const burst = Math.max(1, limits.maxConcurrentLoads)
    this.#availableLoads = Math.min(burst, this.#availableLoads + elapsedMs / MINUTE_MS * limits.loadsPerMinute)
    if (this.#availableLoads < 1) return (1 - this.#availableLoads) / limits.loadsPerMinute * MINUTE_MS
    this.#availableLoads -= 1
    return 0
  }

  #evictEntries (): void {
    for (const [id, entry] of this.#entries) {
      if (this.#entries.size <= MAX_ENTRIES) return
      if (entry.result && this.#newestByTarget.get(entry.target) !== id) this.#entries.delete(id)
    }
  }
}
