import type { ReplicaMessage } from '../../../contract/ReplicaMessage'
import type { ReplicaVote } from '../../../contract/ReplicaVote'
import type { ReplicaCoreOptions } from '../../ReplicaCoreOptions'
import type { ReplicaEffect } from '../../ReplicaEffect'
import { EntryList } from '../EntryList'
import { resolveInstance } from '../resolveInstance'
import { SyncTracker } from '../SyncTracker'

type EnvelopeField = 'from' | 'to' | 'clusterId' | 'term'
/** A message without its envelope, but with an optional term. The conditional type distributes over the union. */
type MessageContent = ReplicaMessage extends infer M ? M extends ReplicaMessage ? Omit<M, EnvelopeField> & { term?: number } : never : never

/** State shared by the components of a replica: vote, log, commit offset. */
export class ReplicaData {
  readonly id: string
  readonly instance: string
  readonly log = new EntryList()
  readonly syncs: SyncTracker
  term: number
  votedFor: string | null
  commitOffset: number

  constructor ({ vote, snapshot, entries }: ReplicaCoreOptions) {
    this.id = vote.id
    this.instance = resolveInstance(vote.id)
    this.votedFor = vote.votedFor
    if (snapshot) this.log.reset(snapshot)
    for (const entry of entries) this.log.append(entry)
    this.term = Math.max(vote.term, this.log.lastTerm)
    if (this.term > vote.term) this.votedFor = null
    this.commitOffset = this.log.baseOffset
    this.syncs = new SyncTracker(this.log.lastOffset)
  }

  get clusterId (): string | undefined {
    return this.log.members?.clusterId
  }

  /** Whether the newest membership change in the log is not committed yet. */
  get hasPendingMembershipChange (): boolean {
    return this.log.membersOffset > this.commitOffset
  }

  /**
   * The sets of voters that must each reach a majority, by the newest members in the log, committed or not. While voters
   * are replaced, majorities of both the old and the new voters are required (joint consensus), so that no decision
   * relies on a replaced replica actually being down.
   */
  get voterSets (): string[][] {
    const { members } = this.log
    if (!members) return []
    return members.previousVoters ? [members.previousVoters, members.voters] : [members.voters]
  }

  /** Whether the newest membership change is complete: committed, and without previous voters. */
  get isMembershipSettled (): boolean {
    return !this.hasPendingMembershipChange && this.log.members?.previousVoters === undefined
  }

  /** Ids of the other current voters, or of all other current members. */
  listOtherMembers (kind: 'voters' | 'all'): string[] {
    const ids = kind === 'all' ? this.listMembers() : [...new Set(this.voterSets.flat())]
    return ids.filter(id => id !== this.id)
  }

  /** Ids of all voters and learners, this replica included. */
  listMembers (): string[] {
    return [...new Set([...this.voterSets.flat(), ...this.log.members?.learners ?? []])]
  }

  isVoter (): boolean {
    return this.voterSets.some(voters => voters.includes(this.id))
  }

  createSendEffect (to: string, content: MessageContent): ReplicaEffect {
    const message = { from: this.id, to, clusterId: this.clusterId, term: this.term, ...content } as ReplicaMessage
    return { type: 'send', message }
  }

  createSaveVoteEffect (): ReplicaEffect {
    const vote: ReplicaVote = { id: this.id, term: this.term, votedFor: this.votedFor }
    return { type: 'saveVote', vote }
  }
}
