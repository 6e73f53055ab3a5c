import { z } from 'zod'
import { LogEntry } from '../LogEntry'
import { LogMembers } from '../LogMembers'
import { LogSnapshot } from '../LogSnapshot'

const nonNegativeInt = z.number().int().nonnegative()
const envelope = {
  /** Replica id of the sender. */
  from: z.string(),
  /** Replica id of the receiver; in a `probe`, its instance name. */
  to: z.string(),
  /** Absent while the sender belongs to no cluster. */
  clusterId: z.string().optional(),
  term: nonNegativeInt
}

/**
 * @name ReplicaMessage
 * @category Contract
 * @summary Messages between the replicas of a log group.
 *
 * @example
 * ReplicaMessage.parse({ type: 'vote', from: 'c1:a', to: 'c2:b', term: 2, lastOffset: 9, lastTerm: 1 })
 */
export const ReplicaMessage = z.discriminatedUnion('type', [
  /** Asks whether an election could be won. `term` is the term that the candidate would start. */
  z.object({ type: z.literal('preVote'), ...envelope, lastOffset: nonNegativeInt, lastTerm: nonNegativeInt }),
  z.object({ type: z.literal('preVoteReply'), ...envelope, isGranted: z.boolean() }),
  /** Requests a vote. `lastOffset` and `lastTerm` are those of the last entry of the candidate's log. */
  z.object({ type: z.literal('vote'), ...envelope, lastOffset: nonNegativeInt, lastTerm: nonNegativeInt }),
  z.object({ type: z.literal('voteReply'), ...envelope, isGranted: z.boolean() }),
  z.object({
    type: z.literal('append'),
    ...envelope,
    /** Offset and term of the entry before `entries`. */
    previousOffset: nonNegativeInt,
    previousTerm: nonNegativeInt,
    entries: z.array(LogEntry),
    commitOffset: nonNegativeInt,
    /**
     * Sequence number of the newest read that the leader has received. Each read waits until a majority of the voters
     * has returned its number or a higher one, which confirms the leadership.
     */
    readSequence: nonNegativeInt
  }),
  z.object({
    type: z.literal('appendReply'),
    ...envelope,
    isAccepted: z.boolean(),
    /** Offset up to which the follower's log is synced and equal to the leader's. */
    matchOffset: nonNegativeInt,
    /** Offset from which the leader should continue after a refused append. */
    conflictOffset: nonNegativeInt,
    /** Newest `readSequence` that the follower received from this leader. */
    readSequence: nonNegativeInt
  }),
  z.object({ type: z.literal('installSnapshot'), ...envelope, snapshot: LogSnapshot }),
  /**
   * Asks an instance whether it belongs to a cluster. `to` is the instance name, because the sender does not know the
   * receiver's disk incarnation yet, which is the second part of a replica id.
   */
  z.object({ type: z.literal('probe'), ...envelope }),
  z.object({
    type: z.literal('probeReply'),
    ...envelope,
    isInitialised: z.boolean(),
    /**
     * Instances of the members that the sender knows. The receiver probes them too, so that it finds the leader even if
     * it is configured with only one member.
     */
    instances: z.array(z.string()).optional()
  }),
  /** Sends the first members of a new cluster to one of its voters. */
  z.object({ type: z.literal('genesis'), ...envelope, members: LogMembers })
])
export type ReplicaMessage = z.infer<typeof ReplicaMessage>
