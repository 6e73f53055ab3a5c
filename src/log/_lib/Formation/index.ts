import type { LogMembers } from '../../../contract/LogMembers'
import type { ReplicaMessage } from '../../../contract/ReplicaMessage'
import type { ReplicaCoreOptions } from '../../ReplicaCoreOptions'
import type { ReplicaEffect } from '../../ReplicaEffect'
import type { ReplicaData } from '../ReplicaData'
import { resolveInstance } from '../resolveInstance'
import { timing } from '../timing'

type Effects = Generator<ReplicaEffect, void>
type Message<T extends ReplicaMessage['type']> = Extract<ReplicaMessage, { type: T }>

/**
 * How replicas with empty disks come to a cluster. Only when every configured instance reports an empty disk, the one
 * with the smallest name forms a new cluster; otherwise a disk was lost and its replica asks to join as a learner.
 * A replica that hears from no leader asks too: it may have been replaced while it was away.
 */
export class Formation {
  readonly #data: ReplicaData
  readonly #options: ReplicaCoreOptions
  readonly #probed: Set<string>
  readonly #emptyPeers = new Map<string, string>()
  #isClusterKnown = false
  readonly #startedMs: number
  #nextProbeMs: number

  constructor (data: ReplicaData, options: ReplicaCoreOptions) {
    this.#data = data
    this.#options = options
    this.#probed = new Set(options.peers)
    this.#startedMs = options.nowMs
    this.#nextProbeMs = options.nowMs
  }

  /** More instances to ask. They are no part of a new cluster. */
  addPeers (instances: readonly string[]): void {
    for (const instance of instances) if (instance !== this.#data.instance) this.#probed.add(instance)
  }

  get nextProbeMs (): number {
    return this.#nextProbeMs
  }

  * tick (nowMs: number, leaderContactMs: number): Effects {
    if (nowMs < this.#nextProbeMs) return
    this.#nextProbeMs = nowMs + timing.probeMs
    if (this.#data.clusterId && !this.#isLost(nowMs, leaderContactMs)) return
    // The seeds of a restarted replica may be gone; the members in its log are others to ask.
    this.addPeers(this.#data.listMembers().map(resolveInstance))
    for (const instance of this.#probed) yield this.#data.createSend(instance, { type: 'probe' })
    yield * this.#createCluster()
  }

  * handleProbe ({ from }: Message<'probe'>): Effects {
    const { log, syncs, clusterId } = this.#data
    const members = log.get(1)?.members
    yield this.#data.createSend(from, { type: 'probeReply', isInitialised: clusterId !== undefined, instances: this.#data.listMembers().map(resolveInstance) })
    // Only durable members are sent: a replica that lost them in a crash would form a second cluster.
    const isGenesis = members !== undefined && members.voters.includes(from) && syncs.syncedOffset > 0
    if (isGenesis) yield this.#data.createSend(from, { type: 'genesis', members })
  }

  * handleProbeReply ({ from, isInitialised, instances }: Message<'probeReply'>): Effects {
    this.addPeers(instances ?? [])
    if (isInitialised) this.#isClusterKnown = true
    else this.#emptyPeers.set(resolveInstance(from), from)
    yield * this.#createCluster()
  }

  * handleGenesis ({ members }: Message<'genesis'>): Effects {
    if (this.#data.clusterId || !members.voters.includes(this.#data.id)) return
    yield * this.#appendGenesis(members)
  }

  * #createCluster (): Effects {
    const { peers, createClusterId, mayForm = true } = this.#options
    const isFirst = peers.every(peer => peer > this.#data.instance)
    const isEveryPeerEmpty = peers.every(peer => this.#emptyPeers.has(peer))
    if (!mayForm || this.#data.clusterId || this.#isClusterKnown || !isFirst || !isEveryPeerEmpty) return
    const voters = [this.#data.id, ...peers.map(peer => this.#emptyPeers.get(peer)!)]
    const members: LogMembers = { clusterId: createClusterId(), voters, learners: [] }
    yield * this.#appendGenesis(members)
  }

  #isLost (nowMs: number, leaderContactMs: number): boolean {
    if (!this.#data.isVoter()) return nowMs - leaderContactMs > timing.rejoinAfterMs
    return nowMs - Math.max(this.#startedMs, leaderContactMs) > timing.voterRejoinAfterMs
  }

  /** The first entry of every log holds the first members. It is the same on each replica. */
  * #appendGenesis (members: LogMembers): Effects {
    const { log, syncs } = this.#data
    const entry = { offset: 1, term: 1, members }
    this.#data.term = Math.max(this.#data.term, 1)
    yield this.#data.createSaveVote()
    log.append(entry)
    yield { type: 'append', sequence: syncs.startWrite(1), entries: [entry] }
  }
}
