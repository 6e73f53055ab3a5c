import { z } from 'zod'
import { LogEntry } from '../LogEntry'
import { LogMembers } from '../LogMembers'
import { LogSnapshot } from '../LogSnapshot'

const nonNegativeInt = z.number().int().nonnegative()
const envelope = {
  /** Replica id of the sender. */
  from: z.string(),
  /** Replica id of the receiver. */
  to: z.string(),
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
    /** Number of the newest read that waits until the leadership is confirmed. */
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
  /** Asks whether an instance belongs to a cluster. `to` is an instance, as its disk incarnation isn't known yet. */
  z.object({ type: z.literal('probe'), ...envelope }),
  z.object({
    type: z.literal('probeReply'),
    ...envelope,
    isInitialised: z.boolean(),
    /** Instances of the cluster's members; lets an instance that knows only one of them find the leader. */
    instances: z.array(z.string()).optional()
  }),
  /** Sends the first members of a new cluster to one of its voters. */
  z.object({ type: z.literal('genesis'), ...envelope, members: LogMembers })
])
export type ReplicaMessage = z.infer<typeof ReplicaMessage>
