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
 * Forms a new cluster from replicas with empty disks, or asks to join an existing one. For both, it sends `probe` to the
 * instances that it knows; a leader that receives a probe adds the sender as a learner. The instance with the smallest
 * name forms a new cluster, but only once every configured peer has reported an empty disk. If a peer belongs to a
 * cluster, a replica with an empty disk has probably lost its former disk and only joins. A replica without contact with
 * a leader probes too, because it may have been replaced while it was down or unreachable.
 */
export class ClusterFormation {
  readonly #data: ReplicaData
  readonly #options: ReplicaCoreOptions
  readonly #peersToProbe: Set<string>
  /** Replica ids of the peers that reported an empty disk, by instance. */
  readonly #emptyPeers = new Map<string, string>()
  /** Whether a peer has reported that it belongs to a cluster. */
  #isClusterKnown = false
  readonly #startedMs: number
  #nextProbeMs: number

  constructor (data: ReplicaData, options: ReplicaCoreOptions) {
    this.#data = data
    this.#options = options
    this.#peersToProbe = new Set(options.peers)
    this.#startedMs = options.nowMs
    this.#nextProbeMs = options.nowMs
  }

  /** Adds instances to probe. They do not become members of a new cluster. */
  addPeers (instances: readonly string[]): void {
    for (const instance of instances) if (instance !== this.#data.instance) this.#peersToProbe.add(instance)
  }

  get nextProbeMs (): number {
    return this.#nextProbeMs
  }

  * tick (nowMs: number, lastLeaderContactMs: number): Effects {
    if (nowMs < this.#nextProbeMs) return
    this.#nextProbeMs = nowMs + timing.probeMs
    if (this.#data.clusterId && !this.#isRejoinDue(nowMs, lastLeaderContactMs)) return
    // The configured peers may no longer exist when a replica restarts, so it also probes the members in its log.
    this.addPeers(this.#data.listMembers().map(resolveInstance))
    for (const instance of this.#peersToProbe) yield this.#data.createSendEffect(instance, { type: 'probe' })
    yield * this.#createCluster()
  }

  * handleProbe ({ from }: Message<'probe'>): Effects {
    const { log, syncs, clusterId } = this.#data
    const members = log.get(1)?.members
    yield this.#data.createSendEffect(from, { type: 'probeReply', isInitialised: clusterId !== undefined, instances: this.#data.listMembers().map(resolveInstance) })
    // The members are sent only once they are durable: a replica that lost them in a crash would form a second cluster.
    const canSendGenesis = members !== undefined && members.voters.includes(from) && syncs.syncedOffset > 0
    if (canSendGenesis) yield this.#data.createSendEffect(from, { type: 'genesis', members })
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
    const isLowestInstance = peers.every(peer => peer > this.#data.instance)
    const isEveryPeerEmpty = peers.every(peer => this.#emptyPeers.has(peer))
    if (!mayForm || this.#data.clusterId || this.#isClusterKnown || !isLowestInstance || !isEveryPeerEmpty) return
    const voters = [this.#data.id, ...peers.map(peer => this.#emptyPeers.get(peer)!)]
    const members: LogMembers = { clusterId: createClusterId(), voters, learners: [] }
    yield * this.#appendGenesis(members)
  }

  /** Whether this replica has had no contact with a leader for so long that it asks to be added again. */
  #isRejoinDue (nowMs: number, lastLeaderContactMs: number): boolean {
    if (!this.#data.isVoter()) return nowMs - lastLeaderContactMs > timing.rejoinAfterMs
    return nowMs - Math.max(this.#startedMs, lastLeaderContactMs) > timing.voterRejoinAfterMs
  }

  /** Appends the first entry of the log. It holds the initial members and is the same on every replica. */
  * #appendGenesis (members: LogMembers): Effects {
    const { log, syncs } = this.#data
    const entry = { offset: 1, term: 1, members }
    this.#data.term = Math.max(this.#data.term, 1)
    yield this.#data.createSaveVoteEffect()
    log.append(entry)
    yield { type: 'append', sequence: syncs.startWrite(1), entries: [entry] }
  }
}
