import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { ReplicaMessage } from '../../../src/contract/ReplicaMessage'
import { InvariantChecker } from './InvariantChecker'
import type { InjectedBugs } from './RevisionMachine'
import { SimulatedReplica } from './SimulatedReplica'

const FAULTY_MS = 2_000
const HEALED_MS = 20_000

interface Event { atMs: number, order: number, run: () => void }

/** Fault rates of one schedule; a rate of 0 leaves that fault out. */
interface FaultProfile {
  /** Probability that a message is lost. */
  drop: number
  /** Probability that a message is delivered twice. */
  duplicate: number
  /** Probability that a message is delayed by up to 700 ms. */
  delay: number
  /** Probability of a crash at each sync point. */
  crashAtSync: number
  /** Mean time between fault steps. Each draws a crash, a pause, a partition, the end of a partition or a disk loss; some have no effect. */
  faultEveryMs: number
  /** Mean duration of a disk sync. */
  syncMs: number
}

/**
 * Simulates the replicas of one log group under a seeded schedule of faults. Messages are dropped, duplicated, delayed
 * and reordered. Replicas crash at sync points, pause, lose their disks (one at a time) and are partitioned. Their
 * clocks differ in time and rate. At the end all faults stop and the replicas must converge.
 */
export class ReplicaSimulation {
  nowMs = 0
  readonly checker = new InvariantChecker()
  readonly random: () => number
  readonly #replicas: SimulatedReplica[]
  readonly #profile: FaultProfile
  readonly #events: Event[] = []
  #order = 0
  /** Side of a network partition by instance; empty without a partition. */
  #partitionSides = new Map<string, number>()
  #isHealed = false
  /** Id that the last replica with a lost disk had before the loss. */
  #lostReplicaId: string | undefined
  #nextChange = 1
  readonly counts = { crashes: 0, lostDisks: 0, proposals: 0 }

  constructor (seed: number, readonly bugs: InjectedBugs = {}) {
    const generator = xoroshiro128plus(seed)
    this.random = () => (generator.next() >>> 0) / 2 ** 32
    for (let i = 0; i < 8; i++) this.random()
    const pick = (...values: number[]): number => values[Math.floor(this.random() * values.length)]
    this.#profile = {
      drop: pick(0, 0.02, 0.2),
      duplicate: pick(0, 0.1),
      delay: pick(0, 0.02, 0.1),
      crashAtSync: pick(0, 0.002, 0.02),
      faultEveryMs: pick(200, 500, 1500),
      syncMs: pick(1, 10, 80)
    }
    const instances = Array.from({ length: pick(3, 3, 3, 5) }, (_, i) => `c${i + 1}`)
    this.#replicas = instances.map(instance => new SimulatedReplica(this, instance, instances.filter(other => other !== instance)))
  }

  run (): void {
    for (const replica of this.#replicas) replica.start()
    this.schedule(0, () => this.#runFault())
    this.schedule(0, () => this.#runClient())
    this.#runEvents(FAULTY_MS, () => false)
    this.#heal()
    this.#runEvents(FAULTY_MS + HEALED_MS, () => this.#isConverged())
    const [{ machine }] = this.#replicas
    this.checker.checkEnd(this.#isConverged(), machine.results, machine.revision)
  }

  isCrashing (): boolean { return !this.#isHealed && this.random() < this.#profile.crashAtSync }

  onCrash (replica: SimulatedReplica): void {
    this.counts.crashes++
    this.schedule(50 + this.random() * 800, () => { if (!replica.core) replica.start() })
  }

  schedule (delayMs: number, run: () => void): void {
    const event = { atMs: this.nowMs + Math.max(0, delayMs), order: this.#order++, run }
    let index = this.#events.length
    while (index > 0 && this.#events[index - 1].atMs <= event.atMs) index--
    this.#events.splice(index, 0, event)
  }

  /** Runs a step of a replica after a delay: later if the replica is paused by then, not at all if it has crashed since. */
  scheduleFor (replica: SimulatedReplica, delayMs: number, run: () => void): void {
    const { core } = replica
    this.schedule(delayMs, () => {
      if (replica.core !== core) return
      if (replica.isRunnable) run()
      else this.scheduleFor(replica, replica.pausedUntilMs - this.nowMs + 1, run)
    })
  }

  scheduleSync (replica: SimulatedReplica): void {
    this.scheduleFor(replica, this.random() * 2 * this.#profile.syncMs, () => replica.sync())
  }

  scheduleTick (replica: SimulatedReplica): void {
    const dueMs = Math.max(this.nowMs, replica.nextTickMs) + 0.5
    if (replica.scheduledTickMs <= dueMs && replica.scheduledTickMs > this.nowMs) return
    replica.scheduledTickMs = dueMs
    this.scheduleFor(replica, dueMs - this.nowMs, () => {
      if (replica.scheduledTickMs !== dueMs) return
      replica.scheduledTickMs = 0
      replica.tick()
    })
  }

  send (message: ReplicaMessage): void {
    const { drop, duplicate, delay } = this.#isHealed ? { drop: 0, duplicate: 0, delay: 0 } : this.#profile
    if (this.random() < drop) return
    const delayMs = 0.5 + this.random() * 3 + (this.random() < delay ? this.random() * 700 : 0)
    this.schedule(delayMs, () => this.#deliver(message))
    if (this.random() < duplicate) this.schedule(delayMs + this.random() * 50, () => this.#deliver(message))
  }

  #deliver (message: ReplicaMessage): void {
    const [from, to] = [message.from, message.to].map(id => id.split(':')[0])
    const replica = this.#replicas.find(({ instance }) => instance === to)
    if (!replica?.core || this.#partitionSides.get(from) !== this.#partitionSides.get(to)) return
    this.scheduleFor(replica, 0, () => replica.step(message))
  }

  #runEvents (untilMs: number, isDone: () => boolean): void {
    for (let count = 0; this.#events.length > 0 && this.#events.at(-1)!.atMs <= untilMs; count++) {
      const event = this.#events.pop()!
      this.nowMs = event.atMs
      event.run()
      if (count % 50 === 0 && isDone()) return
    }
  }

  #chooseReplica (): SimulatedReplica { return this.#replicas[Math.floor(this.random() * this.#replicas.length)] }

  #runClient (): void {
    const [a, b] = [this.#chooseReplica(), this.#chooseReplica()]
    const revision = Math.max(...this.#replicas.map(({ machine }) => machine.revision))
    const send = (replica: SimulatedReplica, changeId: string): void => {
      if (!replica.isRunnable || this.checker.results.has(changeId)) return
      this.counts.proposals++
      replica.propose(changeId, revision)
    }
    for (const replica of [a, b]) {
      const changeId = `change ${this.#nextChange++}`
      send(replica, changeId)
      if (this.random() < 0.3) this.schedule(this.random() * 600, () => send(this.#chooseReplica(), changeId))
    }
    const reader = this.#chooseReplica()
    if (reader.isRunnable) reader.read()
    if (!this.#isHealed) this.schedule(10 + this.random() * 60, () => this.#runClient())
  }

  #runFault (): void {
    if (this.#isHealed) return
    const replica = this.#chooseReplica()
    const kind = this.random()
    if (kind < 0.25 && replica.core) replica.crash()
    else if (kind < 0.45) replica.pausedUntilMs = this.nowMs + this.random() * 1_500
    else if (kind < 0.7) this.#partitionSides = new Map(this.#replicas.map(({ instance }) => [instance, Math.floor(this.random() * 2)]))
    else if (kind < 0.85) this.#partitionSides = new Map()
    else if (this.#isRepaired()) this.#loseDisk(replica)
    this.schedule(this.random() * 2 * this.#profile.faultEveryMs, () => this.#runFault())
  }

  #loseDisk (replica: SimulatedReplica): void {
    const lostReplicaId = replica.id
    const crashes = this.counts.crashes
    replica.loseDisk()
    if (crashes === this.counts.crashes) this.onCrash(replica)
    this.counts.lostDisks++
    this.#lostReplicaId = lostReplicaId
  }

  /**
   * Whether another disk may be lost: a leader's status, as operators see it, is settled and no longer lists the replica
   * that last lost its disk. Before any loss, a settled status is enough.
   */
  #isRepaired (): boolean {
    return this.#replicas.some(({ core }) => {
      if (core?.role !== 'leader' || core.commitOffset === 0) return false
      const { isSettled, members } = core.getStatus()
      return isSettled && !members.some(({ instance, incarnation }) => `${instance}:${incarnation}` === this.#lostReplicaId)
    })
  }

  /** Lists the state of each replica, for debugging a failing schedule. */
  listStates (): unknown[] {
    return this.#replicas.map(({ id, appliedOffset, core }) => JSON.stringify({ id, appliedOffset, base: core?.baseOffset, ...core?.getStatus() }))
  }

  #heal (): void {
    this.#isHealed = true
    this.#partitionSides = new Map()
    for (const replica of this.#replicas) replica.pausedUntilMs = 0
  }

  #isConverged (): boolean {
    const { committedOffset } = this.checker
    const isLeaderSettled = this.#replicas.some(({ core }) => core?.role === 'leader' && core.commitOffset === core.lastOffset && core.getStatus().isSettled)
    return isLeaderSettled && this.#replicas.every(({ core, appliedOffset }) => core && appliedOffset === committedOffset && core.getStatus().role !== 'learner')
  }
}
