import type { LogEntry } from '../../../src/contract/LogEntry'
import type { LogSnapshot } from '../../../src/contract/LogSnapshot'
import type { ReplicaMessage } from '../../../src/contract/ReplicaMessage'
import type { ReplicaVote } from '../../../src/contract/ReplicaVote'
import { ReplicaCore } from '../../../src/log/ReplicaCore'
import type { ReplicaEffect } from '../../../src/log/ReplicaEffect'
import type { InvariantChecker } from './InvariantChecker'
import { type InjectedBugs, RevisionMachine } from './RevisionMachine'

const SNAPSHOT_EVERY = 8
const RETAINED_ENTRIES = 3

/** What the simulation provides to its replicas. */
interface Host {
  nowMs: number
  random: () => number
  send: (message: ReplicaMessage) => void
  /** Decides at random, at each point of a disk sync, whether the replica crashes there. */
  isCrashing: () => boolean
  onCrash: (replica: SimulatedReplica) => void
  schedule: (delayMs: number, run: () => void) => void
  scheduleSync: (replica: SimulatedReplica) => void
  scheduleTick: (replica: SimulatedReplica) => void
  checker: InvariantChecker
  bugs: InjectedBugs
}

/** A replica with a simulated disk, clock and state machine. */
export class SimulatedReplica {
  core: ReplicaCore | undefined
  appliedOffset = 0
  pausedUntilMs = 0
  scheduledTickMs = 0
  machine: RevisionMachine
  /** By id of a pending read, the offset of the newest result when the read began. */
  readonly reads = new Map<number, number>()
  readonly #clock: { offsetMs: number, rate: number }
  #vote: ReplicaVote
  #snapshot: LogSnapshot | undefined
  #entries: LogEntry[] = []
  /** Appended batches that have not been synced. */
  #pending: Array<{ sequence: number, entries: LogEntry[] }> = []
  /** With `reportsUnsynced`: the batch that was reported as durable and is written only at the next sync. */
  #unwritten: Array<{ sequence: number, entries: LogEntry[] }> = []
  /** Change ids of proposals by the offset that the log assigned. */
  #proposals = new Map<number, string>()
  #nextReadId = 1

  constructor (readonly host: Host, readonly instance: string, readonly peers: string[]) {
    this.#clock = { offsetMs: host.random() * 1e6, rate: 0.9 + host.random() * 0.2 }
    this.#vote = { id: `${instance}:0`, term: 0, votedFor: null }
    this.machine = new RevisionMachine(host.checker, host.bugs)
  }

  get id (): string { return this.#vote.id }
  get localMs (): number { return this.#clock.offsetMs + this.host.nowMs * this.#clock.rate }
  get nextTickMs (): number { return (this.core!.nextTickMs - this.#clock.offsetMs) / this.#clock.rate }
  get isRunnable (): boolean { return this.core !== undefined && this.host.nowMs >= this.pausedUntilMs }

  start (): void {
    const { host } = this
    if (!host.bugs.keepsStateOnRestart) this.machine = new RevisionMachine(host.checker, host.bugs)
    if (this.#snapshot && !host.bugs.keepsStateOnRestart) this.machine.install(this.#snapshot)
    this.appliedOffset = this.#snapshot?.offset ?? 0
    this.#selectEntries()
    this.core = new ReplicaCore({
      vote: this.#vote,
      snapshot: this.#snapshot,
      entries: this.#entries,
      peers: this.peers,
      random: host.random,
      createClusterId: () => `cluster ${host.random()}`,
      nowMs: this.localMs
    })
    host.scheduleTick(this)
  }

  tick (): void { this.run(this.core!.tick(this.localMs)) }
  step (message: ReplicaMessage): void { this.run(this.core!.step(message, this.localMs)) }

  propose (changeId: string, expectedRevision: number): void {
    const offset = this.run(this.core!.propose([Buffer.from(JSON.stringify({ changeId, expectedRevision }))]))
    if (offset !== undefined && this.core) this.#proposals.set(offset, changeId)
  }

  read (): void {
    const id = this.#nextReadId++
    this.reads.set(id, this.host.checker.newestResultOffset)
    if (this.host.bugs.skipsConfirmation && this.core!.role === 'leader') this.#runEffect({ type: 'readReady', id, offset: this.core!.commitOffset })
    else this.run(this.core!.confirmRead(id, this.localMs))
  }

  /** Syncs the queued batches. A crash here leaves an arbitrary prefix of their entries on the disk. */
  sync (): void {
    const { host } = this
    if (this.#pending.length === 0) return
    if (host.isCrashing()) return this.crash()
    const { sequence } = this.#pending.at(-1)!
    const batch = this.#pending.splice(0)
    const written = host.bugs.reportsUnsynced ? this.#unwritten : batch
    this.#unwritten = batch
    for (const { entries } of written) for (const entry of entries) this.#write(entry)
    this.run(this.core!.handleSynced(sequence))
  }

  crash (): void {
    const unwritten = this.host.bugs.reportsUnsynced ? this.#unwritten : []
    const unsynced = [...unwritten, ...this.#pending.splice(0)].flatMap(({ entries }) => entries)
    this.#unwritten = []
    const writtenCount = Math.floor(this.host.random() * (unsynced.length + 1))
    for (const entry of unsynced.slice(0, writtenCount)) this.#write(entry)
    this.core = undefined
    this.scheduledTickMs = 0
    this.#proposals.clear()
    this.reads.clear()
    this.host.onCrash(this)
  }

  loseDisk (): void {
    if (this.core) this.crash()
    const [instance, incarnation] = this.#vote.id.split(':')
    const id = this.host.bugs.keepsIdentity ? this.#vote.id : `${instance}:${Number(incarnation) + 1}`
    this.#vote = { id, term: 0, votedFor: null }
    this.#snapshot = undefined
    this.#entries = []
  }

  run<T> (step: Generator<ReplicaEffect, T>): T | undefined {
    for (let next = step.next(); this.core; next = step.next()) {
      if (next.done) {
        this.host.scheduleTick(this)
        return next.value
      }
      this.#runEffect(next.value)
    }
    return undefined
  }

  #runEffect (effect: ReplicaEffect): void {
    const { host } = this
    switch (effect.type) {
      case 'saveVote': return this.#saveVote(effect.vote)
      case 'append':
        this.#pending.push(effect)
        return host.scheduleSync(this)
      case 'send': return host.send(effect.message)
      case 'sendSnapshot': {
        const { type, ...envelope } = effect
        if (this.#snapshot) host.send({ type: 'installSnapshot', ...envelope, snapshot: this.#snapshot })
        return
      }
      case 'installSnapshot': return this.#installSnapshot(effect.snapshot)
      case 'apply': return this.#apply(effect.offset)
      case 'readReady': {
        host.checker.checkRead(effect.offset, this.reads.get(effect.id) ?? 0)
        this.reads.delete(effect.id)
        return
      }
      case 'readFailed': this.reads.delete(effect.id); return
      case 'roleChanged':
        if (effect.role === 'leader') host.checker.recordLeader(this.core!)
        else this.#proposals.clear()
    }
  }

  #saveVote (vote: ReplicaVote): void {
    const isCrashing = this.host.isCrashing()
    const isWritten = !isCrashing || this.host.random() < 0.5
    if (isWritten && !this.host.bugs.skipsVoteWrite) this.#vote = vote
    if (isCrashing) this.crash()
  }

  #installSnapshot (snapshot: LogSnapshot): void {
    if (this.host.isCrashing()) return this.crash()
    this.#snapshot = snapshot
    for (const { entries } of this.#pending) for (const entry of entries) this.#write(entry)
    this.#pending = []
    this.#entries = []
    if (this.host.isCrashing()) return this.crash()
    this.machine.install(snapshot)
    this.appliedOffset = snapshot.offset
  }

  #apply (offset: number): void {
    while (this.core!.commitOffset >= offset && this.appliedOffset < offset) this.#applyEntry(this.core!.getEntry(this.appliedOffset + 1)!)
    if (this.appliedOffset - (this.#snapshot?.offset ?? 0) >= SNAPSHOT_EVERY) this.#saveSnapshot()
  }

  #applyEntry (entry: LogEntry): void {
    this.host.checker.recordApplied(this.core!, this.machine.offset, entry)
    this.appliedOffset = entry.offset
    this.machine.offset = entry.offset
    const proposed = this.#proposals.get(entry.offset)
    this.#proposals.delete(entry.offset)
    if (!entry.command) return
    const { changeId, result } = this.machine.apply(entry.command, entry.offset)
    if (proposed !== undefined) this.host.checker.recordResult(proposed, proposed === changeId ? result : `result of ${changeId}`, entry.offset)
  }

  #saveSnapshot (): void {
    if (this.host.isCrashing()) return this.crash()
    const offset = this.appliedOffset
    const { core } = this
    this.#snapshot = { offset, term: core!.getTerm(offset)!, members: core!.getMembersAt(offset)!, state: this.machine.getState() }
    if (this.host.isCrashing()) return this.crash()
    // Runs after the current step, as in LogTask.
    this.host.schedule(0, () => { if (this.core === core) this.run(core!.truncateThrough(offset - RETAINED_ENTRIES)) })
  }

  /** Keeps the entries that continue the snapshot and drops the others, as LogStorage does when it is opened. */
  #selectEntries (): void {
    const offset = this.#snapshot?.offset ?? 0
    const index = this.#entries.findIndex(entry => entry.offset === offset)
    if (index !== -1) this.#entries = this.#entries[index].term === this.#snapshot!.term ? this.#entries.slice(index + 1) : []
    else if (this.#entries[0]?.offset !== offset + 1) this.#entries = []
  }

  #write (entry: LogEntry): void {
    const [first] = this.#entries
    if (first) this.#entries.length = Math.max(0, Math.min(this.#entries.length, entry.offset - first.offset))
    this.#entries.push(entry)
  }
}
