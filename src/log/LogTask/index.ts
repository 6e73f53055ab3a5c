import { randomUUID } from 'node:crypto'
import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import type { LogSnapshot } from '../../contract/LogSnapshot'
import type { ReplicaMessage } from '../../contract/ReplicaMessage'
import { cborCodec } from '../_lib/cborCodec'
import { DiskQueue } from '../_lib/DiskQueue'
import { measureMs } from '../_lib/measureMs'
import { PendingResult } from '../_lib/PendingResult'
import { Proposals } from '../_lib/Proposals'
import { resolveInstance } from '../_lib/resolveInstance'
import { listCommands } from '../_lib/listCommands'
import { runUntilDeadline } from '../_lib/runUntilDeadline'
import { Snapshots } from '../_lib/Snapshots'
import type { LogStatus } from '../LogStatus'
import type { LogTaskOptions } from '../LogTaskOptions'
import { ReplicaCore } from '../ReplicaCore'
import { OffsetWaiters } from '../OffsetWaiters'
import type { ReplicaEffect } from '../ReplicaEffect'
import type { ReplicatedLog } from '../ReplicatedLog'

const DEFAULT_TIMEOUT_MS = 5_000
const MAX_COMMAND_BYTES = 4 * 1024 * 1024

/**
 * @name LogTask
 * @category Log
 * @summary One replica of a log group: runs the decisions of ReplicaCore on disk, timers and transport.
 *
 * @description
 * `propose` and `confirmRead` work on every replica: a follower forwards them to the leader and waits for an election
 * within the time limit. `proposeHere` and `confirmReadHere` are for requests that other replicas forwarded.
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
  readonly #queue: DiskQueue
  readonly #snapshots: Snapshots
  readonly #waiters = new OffsetWaiters()
  readonly #inputs: Array<() => Generator<ReplicaEffect, unknown>> = []
  readonly #proposals = new Proposals()
  readonly #reads = new Map<number, PendingResult>()
  #nextReadId = 1
  #appliedOffset = 0
  #timer: NodeJS.Timeout | undefined
  #isBusy = false
  #isStopped = true

  constructor (options: LogTaskOptions) {
    this.#options = options
    const { storage, machine } = options
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
    if (storage.snapshot) machine.install(cborCodec.decode(storage.snapshot.state))
    this.#appliedOffset = storage.snapshot?.offset ?? 0
    this.#queue = new DiskQueue({
      storage,
      onSynced: sequence => this.#enqueue(() => this.#core.handleSynced(sequence)),
      onError: error => this.#stopByError(error)
    })
    this.#snapshots = new Snapshots(storage, this.#queue)
  }

  get ageMs (): number { return this.#core.computeAge(performance.now()) }

  /** Newest offset that is committed and applied here. */
  get commitOffset (): number {
    return this.#appliedOffset
  }

  start (): void {
    this.#isStopped = false
    this.#enqueue(() => this.#core.tick(performance.now()))
  }

  async close (): Promise<void> {
    if (this.#isStopped) return
    this.#stop()
    await this.#queue.close()
    await this.#options.storage.close()
  }

  /** More instances where a leader may be found. */
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
   * @throws AppError `control-unavailable`: outcome `not-run` if no leader took the command, otherwise `unknown`.
   */
  propose (command: unknown, options: { timeoutMs?: number } = {}): Promise<unknown> {
    return runUntilDeadline(remainingMs => {
      const leader = this.#core.leader
      if (!leader || leader === this.#core.id) return this.proposeHere(command, { timeoutMs: remainingMs })
      return this.#options.transport.request(resolveInstance(leader), 'propose', command, { timeoutMs: remainingMs })
    }, options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  /**
   * @throws AppError `not-leader` if nothing was appended, `control-unavailable` (outcome `unknown`) if the command may
   * be committed.
   */
  proposeHere (command: unknown, options: { timeoutMs?: number } = {}): Promise<unknown> {
    if (this.#isStopped) return Promise.reject(new AppError('shutting-down', 'The replica is stopped.'))
    const bytes = cborCodec.encode(command)
    if (bytes.length > MAX_COMMAND_BYTES) return Promise.reject(new AppError('body-too-large', `A command of ${bytes.length} bytes exceeds the limit of ${MAX_COMMAND_BYTES}.`))
    if (this.#proposals.waitingCount === 0) setImmediate(() => this.#enqueue(() => this.#proposeAll()))
    return this.#proposals.add(bytes, options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  /**
   * @throws AppError `control-unavailable` if no leader could be confirmed in time.
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
   * Resolves with the offset that holds everything accepted before the call, once that is applied.
   *
   * @throws AppError `not-leader` if this replica does not lead.
   */
  async confirmReadHere (options: { timeoutMs?: number } = {}): Promise<number> {
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
    const id = this.#nextReadId++
    const pending = new PendingResult(timeoutMs, () => new AppError('control-unavailable', 'The leader could not be confirmed in time.'))
    this.#reads.set(id, pending)
    this.#enqueue(() => this.#core.confirmRead(id, performance.now()))
    const offset = await pending.promise.finally(() => this.#reads.delete(id))
    await this.#waitForApplied(Number(offset), timeoutMs)
    return Number(offset)
  }

  listEntries (afterOffset: number, maxEntries: number): Array<{ offset: number, command: unknown }> | undefined {
    return listCommands(this.#core, { afterOffset, throughOffset: this.#appliedOffset, maxEntries })
  }

  async waitForCommit (afterOffset: number, waitMs: number): Promise<void> {
    if (this.#appliedOffset <= afterOffset) await this.#waiters.wait(afterOffset + 1, waitMs)
  }

  async #waitForApplied (offset: number, timeoutMs: number): Promise<void> {
    if (this.#appliedOffset >= offset || await this.#waiters.wait(offset, timeoutMs)) return
    throw new AppError('control-unavailable', `Offset ${offset} was not applied in time.`)
  }

  * #proposeAll (): Generator<ReplicaEffect, void> {
    const proposals = this.#proposals.takeWaiting()
    const offset = yield * this.#core.propose(proposals.map(({ command }) => command))
    if (offset !== undefined) this.#proposals.addAppended(offset, proposals)
    else for (const { pending } of proposals) pending.refuse(this.#createNotLeader())
  }

  #createNotLeader (): AppError {
    const leader = this.#core.leader && resolveInstance(this.#core.leader)
    return new AppError('not-leader', leader ? `${leader} leads the log.` : 'The log has no leader at present.', { details: { leader } })
  }

  #enqueue (input: () => Generator<ReplicaEffect, unknown>): void {
    if (this.#isStopped) return
    this.#inputs.push(input)
    if (!this.#isBusy) void this.#runInputs()
  }

  async #runInputs (): Promise<void> {
    this.#isBusy = true
    try {
      for (let input = this.#inputs.shift(); input && !this.#isStopped; input = this.#inputs.shift()) {
        for (const effect of input()) {
          const isDurable = this.#runEffect(effect)
          if (isDurable) await isDurable
        }
      }
    } catch (error) {
      this.#stopByError(error)
    }
    this.#isBusy = false
    this.#scheduleTick()
  }

  #runEffect (effect: ReplicaEffect): Promise<void> | undefined {
    switch (effect.type) {
      case 'saveVote': return measureMs(() => this.#options.storage.saveVote(effect.vote)).then(durationMs => this.#core.recordVoteSync(durationMs, performance.now()))
      case 'installSnapshot': return this.#installSnapshot(effect.snapshot)
      case 'append': this.#queue.append(effect.sequence, effect.entries); break
      case 'send': this.#options.transport.send(effect.message); break
      case 'sendSnapshot': this.#sendSnapshot(effect); break
      case 'apply': this.#apply(effect.offset); break
      case 'readReady': this.#reads.get(effect.id)?.complete(effect.offset); break
      case 'readFailed': this.#reads.get(effect.id)?.refuse(this.#createNotLeader()); break
      case 'roleChanged': this.#handleRole(effect)
    }
  }

  #handleRole ({ role, term, leader }: ReplicaEffect & { type: 'roleChanged' }): void {
    this.#options.onRoleChanged?.({ role, term, leader: leader && resolveInstance(leader) })
    if (role !== 'leader') this.#proposals.refuseAppended()
  }

  #apply (commitOffset: number): void {
    while (this.#appliedOffset < commitOffset) this.#applyEntry(this.#appliedOffset + 1)
    this.#waiters.notify(this.#appliedOffset)
    if (this.#appliedOffset - this.#snapshots.startedOffset >= this.#options.snapshotEvery) void this.#saveSnapshot()
  }

  #applyEntry (offset: number): void {
    const { command } = this.#core.getEntry(offset)!
    const pending = this.#proposals.takeAppended(offset)
    this.#appliedOffset = offset
    try {
      const result = this.#options.machine.apply(command ? cborCodec.decode(command) : null, offset)
      pending?.complete(result)
    } catch (error) {
      // The state machine fails in the same way on every replica, so the replicas stay equal.
      pending?.refuse(convertToAppError(error))
    }
  }

  async #saveSnapshot (): Promise<void> {
    const offset = this.#appliedOffset
    const state = cborCodec.encode(this.#options.machine.getState())
    const snapshot: LogSnapshot = { offset, term: this.#core.getTerm(offset)!, members: this.#core.getMembersAt(offset)!, state }
    try {
      await this.#snapshots.save(snapshot)
      // Entries behind the snapshot stay in memory for followers and observers that lag a little.
      this.#enqueue(() => this.#core.truncateThrough(offset - this.#options.snapshotEvery))
    } catch (error) {
      this.#stopByError(error)
    }
  }

  async #installSnapshot (snapshot: LogSnapshot): Promise<void> {
    await this.#snapshots.install(snapshot)
    this.#options.machine.install(cborCodec.decode(snapshot.state))
    this.#appliedOffset = snapshot.offset
    this.#waiters.notify(this.#appliedOffset)
  }

  #sendSnapshot ({ from, to, term, clusterId }: ReplicaEffect & { type: 'sendSnapshot' }): void {
    const snapshot = this.#snapshots.newest
    if (snapshot) this.#options.transport.send({ type: 'installSnapshot', from, to, term, clusterId, snapshot })
  }

  #scheduleTick (): void {
    clearTimeout(this.#timer)
    if (this.#isStopped) return
    const delayMs = Math.max(1, Math.ceil(this.#core.nextTickMs - performance.now()))
    this.#timer = setTimeout(() => this.#enqueue(() => this.#core.tick(performance.now())), delayMs)
  }

  #stop (): void {
    this.#isStopped = true
    clearTimeout(this.#timer)
    const error = new AppError('shutting-down', 'The replica stops.')
    this.#proposals.refuseAppended()
    this.#proposals.refuseWaiting(error)
    for (const pending of this.#reads.values()) pending.refuse(error)
  }

  #stopByError (error: unknown): void {
    if (this.#isStopped) return
    this.#stop()
    this.#options.onFatal(convertToAppError(error))
  }
}
