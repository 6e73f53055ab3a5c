import { randomUUID } from 'node:crypto'
import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import type { LogSnapshot } from '../../contract/LogSnapshot'
import type { ReplicaMessage } from '../../contract/ReplicaMessage'
import { cborCodec } from '../_lib/cborCodec'
import { DiskQueue } from '../_lib/DiskQueue'
import { EntryApplier } from '../_lib/EntryApplier'
import { measureMs } from '../_lib/measureMs'
import { PendingResult } from '../_lib/PendingResult'
import { PendingProposals } from '../_lib/PendingProposals'
import { resolveInstance } from '../_lib/resolveInstance'
import { computeRetainedOffset } from '../_lib/computeRetainedOffset'
import { listCommands } from '../_lib/listCommands'
import { runUntilDeadline } from '../_lib/runUntilDeadline'
import { SnapshotStore } from '../_lib/SnapshotStore'
import { TickTimer } from '../_lib/TickTimer'
import type { LogStatistics } from '../LogStatistics'
import type { LogStatus } from '../LogStatus'
import type { LogTaskOptions } from '../LogTaskOptions'
import { ReplicaCore } from '../ReplicaCore'
import { OffsetWaiters } from '../OffsetWaiters'
import type { ReplicaEffect } from '../ReplicaEffect'
import type { ReplicatedLog } from '../ReplicatedLog'

const DEFAULT_TIMEOUT_MS = 5_000
const MAX_COMMAND_BYTES = 4 * 1024 * 1024
const DEFAULT_SNAPSHOT_EVERY_BYTES = 8 * 1024 * 1024

/**
 * @name LogTask
 * @category Log
 * @summary One replica of a log group: executes the effects of ReplicaCore with disk, timers and transport.
 *
 * @description
 * `propose` and `confirmRead` work on every replica: a follower forwards them to the leader, and waits for an election
 * within the time limit. `proposeHere` and `confirmReadHere` do not forward; other replicas forward requests to them.
 *
 * @param options - Storage, state machine, transport, peers.
 *
 * @example
 * const machine = { offset: 0, apply: (command: unknown) => 2 * Number(command), getState: () => null, install: () => {} }
 * const storage = await LogStorage.open({ fileSystem: new NodeFileSystem(), directory: './log', instance: 'c1' })
 * const log = new LogTask({ storage, machine, transport: { send: () => {}, request: async () => {} }, peers: [], snapshotEvery: 1000, onFatal: error => console.error(error) })
 * log.start()
 * await log.propose(2) // 4
 * await log.close()
 */
export class LogTask implements ReplicatedLog {
  readonly #options: LogTaskOptions
  readonly #core: ReplicaCore
  readonly #diskQueue: DiskQueue
  readonly #snapshots: SnapshotStore
  readonly #offsetWaiters = new OffsetWaiters()
  readonly #steps: Array<() => Generator<ReplicaEffect, unknown>> = []
  readonly #proposals = new PendingProposals()
  readonly #pendingReads = new Map<number, PendingResult>()
  readonly #applier: EntryApplier
  /** Limits on the entries after the newest snapshot, and on those before it that stay in memory. */
  readonly #limits: { entries: number, bytes: number }
  #nextReadId = 1
  readonly #timer: TickTimer
  #isRunningSteps = false
  #isStopped = true

  constructor (options: LogTaskOptions) {
    this.#options = options
    const { storage, machine } = options
    this.#limits = { entries: options.snapshotEvery, bytes: options.snapshotEveryBytes ?? DEFAULT_SNAPSHOT_EVERY_BYTES }
    this.#core = new ReplicaCore({
      vote: storage.vote,
      snapshot: storage.snapshot,
      entries: storage.entries,
      peers: options.peers,
      mayForm: options.mayForm,
      maxVoters: options.maxVoters,
      random: Math.random,
      createClusterId: randomUUID,
      nowMs: performance.now()
    })
    this.#applier = new EntryApplier({ machine, proposals: this.#proposals, getEntry: offset => this.#core.getEntry(offset)! })
    if (storage.snapshot) this.#applier.install(storage.snapshot)
    this.#diskQueue = new DiskQueue({
      storage,
      onSynced: sequence => this.#enqueue(() => this.#core.handleSynced(sequence)),
      onError: error => this.#stopOnError(error)
    })
    this.#snapshots = new SnapshotStore(storage, this.#diskQueue, this.#limits)
    this.#timer = new TickTimer({ run: () => this.#enqueue(() => this.#core.tick(performance.now())), onLate: options.onLateTick })
  }

  get ageMs (): number { return this.#core.computeAgeMs(performance.now()) }

  /** Highest offset that is committed and applied on this replica. */
  get commitOffset (): number {
    return this.#applier.offset
  }

  get statistics (): LogStatistics {
    return { ...this.#applier.totals, longestTickDelayMs: this.#timer.longestDelayMs }
  }

  start (): void {
    this.#isStopped = false
    this.#enqueue(() => this.#core.tick(performance.now()))
  }

  async close (): Promise<void> {
    if (this.#isStopped) return
    this.#stop()
    await this.#diskQueue.close()
    await this.#options.storage.close()
  }

  /** Adds instances to probe for a leader. */
  addPeers (instances: readonly string[]): void {
    this.#core.addPeers(instances)
  }

  getStatus (): LogStatus {
    return this.#core.getStatus()
  }

  handleMessage (message: ReplicaMessage): void {
    this.#enqueue(() => this.#core.step(message, performance.now()))
  }

  /**
   * @throws AppError `control-unavailable`: outcome `not-run` if no leader accepted the command, otherwise `unknown`.
   */
  propose (command: unknown, options: { timeoutMs?: number } = {}): Promise<unknown> {
    return runUntilDeadline(remainingMs => {
      const leader = this.#core.leader
      if (!leader || leader === this.#core.id) return this.proposeHere(command, { timeoutMs: remainingMs })
      return this.#options.transport.request(resolveInstance(leader), 'propose', command, { timeoutMs: remainingMs })
    }, options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  /**
   * @throws AppError `not-leader`, `body-too-large` or `shutting-down` if nothing was appended, `control-unavailable`
   * (outcome `unknown`) if the command may be committed.
   */
  proposeHere (command: unknown, options: { timeoutMs?: number } = {}): Promise<unknown> {
    if (this.#isStopped) return Promise.reject(new AppError('shutting-down', 'The replica is not running.'))
    const bytes = cborCodec.encode(command)
    if (bytes.length > MAX_COMMAND_BYTES) return Promise.reject(new AppError('body-too-large', `A command of ${bytes.length} bytes exceeds the limit of ${MAX_COMMAND_BYTES}.`))
    if (this.#proposals.waitingCount === 0) setImmediate(() => this.#enqueue(() => this.#proposeWaiting()))
    return this.#proposals.add(bytes, options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  /**
   * @throws AppError `control-unavailable` if the read was not confirmed and applied here within the time limit.
   */
  confirmRead (options: { timeoutMs?: number } = {}): Promise<void> {
    return runUntilDeadline(async remainingMs => {
      const leader = this.#core.leader
      if (!leader || leader === this.#core.id) {
        await this.confirmReadHere({ timeoutMs: remainingMs })
        return
      }
      const offset = await this.#options.transport.request(resolveInstance(leader), 'confirmRead', null, { timeoutMs: remainingMs })
      await this.#waitForApplied(Number(offset), remainingMs)
    }, options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  /**
   * Resolves with an offset that covers every change accepted before the call, once this replica has applied it.
   *
   * @throws AppError `not-leader`, `control-unavailable` if the offset was not confirmed and applied in time.
   */
  async confirmReadHere (options: { timeoutMs?: number } = {}): Promise<number> {
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
    const id = this.#nextReadId++
    const pending = new PendingResult(timeoutMs, () => new AppError('control-unavailable', 'A majority did not confirm the leader within the time limit.'))
    this.#pendingReads.set(id, pending)
    this.#enqueue(() => this.#core.confirmRead(id, performance.now()))
    const offset = await pending.promise.finally(() => this.#pendingReads.delete(id))
    await this.#waitForApplied(Number(offset), timeoutMs)
    return Number(offset)
  }

  listEntries (afterOffset: number, maxEntries: number): Array<{ offset: number, command: unknown }> | undefined {
    return listCommands(this.#core, { afterOffset, throughOffset: this.#applier.offset, maxEntries })
  }

  async waitForCommit (afterOffset: number, waitMs: number): Promise<void> {
    if (this.#applier.offset <= afterOffset) await this.#offsetWaiters.wait(afterOffset + 1, waitMs)
  }

  async #waitForApplied (offset: number, timeoutMs: number): Promise<void> {
    if (this.#applier.offset >= offset || await this.#offsetWaiters.wait(offset, timeoutMs)) return
    throw new AppError('control-unavailable', `Offset ${offset} was not applied on this replica within the time limit.`)
  }

  * #proposeWaiting (): Generator<ReplicaEffect, void> {
    const proposals = this.#proposals.takeWaiting()
    const offset = yield * this.#core.propose(proposals.map(({ command }) => command))
    if (offset !== undefined) this.#proposals.addAppended(offset, proposals)
    else for (const { pending } of proposals) pending.refuse(this.#createNotLeaderError())
  }

  #createNotLeaderError (): AppError {
    const leader = this.#core.leader && resolveInstance(this.#core.leader)
    return new AppError('not-leader', leader ? `This replica does not lead the log; the last known leader is ${leader}.` : 'This replica does not lead the log, and no leader is known.', { details: { leader } })
  }

  #enqueue (step: () => Generator<ReplicaEffect, unknown>): void {
    if (this.#isStopped) return
    this.#steps.push(step)
    if (!this.#isRunningSteps) void this.#runSteps()
  }

  async #runSteps (): Promise<void> {
    this.#isRunningSteps = true
    try {
      for (let step = this.#steps.shift(); step && !this.#isStopped; step = this.#steps.shift()) {
        for (const effect of step()) {
          const completion = this.#runEffect(effect)
          if (completion) await completion
        }
      }
    } catch (error) {
      this.#stopOnError(error)
    }
    this.#isRunningSteps = false
    this.#scheduleTick()
  }

  #runEffect (effect: ReplicaEffect): Promise<void> | undefined {
    switch (effect.type) {
      case 'saveVote': return measureMs(() => this.#options.storage.saveVote(effect.vote)).then(durationMs => this.#core.recordVoteSync(durationMs, performance.now()))
      case 'installSnapshot': return this.#installSnapshot(effect.snapshot)
      case 'append': this.#diskQueue.append(effect.sequence, effect.entries); break
      case 'send': this.#options.transport.send(effect.message); break
      case 'sendSnapshot': this.#sendSnapshot(effect); break
      case 'apply': this.#apply(effect.offset); break
      case 'readReady': this.#pendingReads.get(effect.id)?.complete(effect.offset); break
      case 'readFailed': this.#pendingReads.get(effect.id)?.refuse(this.#createNotLeaderError()); break
      case 'roleChanged': this.#handleRoleChange(effect)
    }
  }

  #handleRoleChange ({ role, term, leader, reason }: ReplicaEffect & { type: 'roleChanged' }): void {
    this.#options.onRoleChanged?.({ role, term, leader: leader && resolveInstance(leader), reason })
    if (role !== 'leader') this.#proposals.settleAppendedAsUnknown()
  }

  #apply (commitOffset: number): void {
    const batch = this.#applier.applyThrough(commitOffset)
    this.#options.onApplied?.(batch)
    this.#offsetWaiters.notify(this.#applier.offset)
    this.#snapshots.recordApplied(batch.bytes)
    if (this.#snapshots.isDue(this.#applier.offset)) void this.#saveSnapshot()
  }

  async #saveSnapshot (): Promise<void> {
    const { offset } = this.#applier
    const state = cborCodec.encode(this.#options.machine.getState())
    const snapshot: LogSnapshot = { offset, term: this.#core.getTerm(offset)!, members: this.#core.getMembersAt(offset)!, state }
    try {
      await this.#snapshots.save(snapshot)
      // The last entries before the snapshot stay in memory for followers and observers that lag slightly.
      this.#enqueue(() => this.#core.truncateThrough(computeRetainedOffset(at => this.#core.getEntry(at), offset, this.#limits)))
    } catch (error) {
      this.#stopOnError(error)
    }
  }

  async #installSnapshot (snapshot: LogSnapshot): Promise<void> {
    await this.#snapshots.install(snapshot)
    this.#applier.install(snapshot)
    this.#offsetWaiters.notify(snapshot.offset)
  }

  #sendSnapshot ({ from, to, term, clusterId }: ReplicaEffect & { type: 'sendSnapshot' }): void {
    const snapshot = this.#snapshots.newest
    if (snapshot) this.#options.transport.send({ type: 'installSnapshot', from, to, term, clusterId, snapshot })
  }

  #scheduleTick (): void {
    if (!this.#isStopped) this.#timer.schedule(this.#core.nextTickMs)
  }

  #stop (): void {
    this.#isStopped = true
    this.#timer.clear()
    const error = new AppError('shutting-down', 'The replica is shutting down.')
    this.#proposals.settleAppendedAsUnknown()
    this.#proposals.refuseWaiting(error)
    for (const pending of this.#pendingReads.values()) pending.refuse(error)
  }

  #stopOnError (error: unknown): void {
    if (this.#isStopped) return
    this.#stop()
    this.#options.onFatal(convertToAppError(error))
  }
}
