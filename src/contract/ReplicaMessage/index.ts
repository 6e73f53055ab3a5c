import { z } from 'zod'
import { LogEntry } from '../LogEntry'
import { LogMembers } from '../LogMembers'
import { LogSnapshot } from '../LogSnapshot'

const count = z.number().int().nonnegative()
const envelope = { from: z.string(), to: z.string(), clusterId: z.string().optional(), term: count }

/**
 * @name ReplicaMessage
 * @category Contract
 * @summary Messages between the replicas of a log group.
 *
 * @description
 * `from` and `to` are replica ids; `to` of a `probe` is an instance, because its disk incarnation isn't known yet.
 * `term` of `preVote` is the term that the candidate would start. `matchOffset`: the log is synced and equal to the
 * leader's up to there. `conflictOffset`: where the leader should go on after a refused append. `readSequence`:
 * number of the newest read that waits for a confirmation of the leader. `instances` of `probeReply`: where the members
 * of the cluster are, so that an instance that knows only one of them finds the leader.
 *
 * @example
 * ReplicaMessage.parse({ type: 'vote', from: 'c1:a', to: 'c2:b', term: 2, lastOffset: 9, lastTerm: 1 })
 */
export const ReplicaMessage = z.discriminatedUnion('type', [
  z.object({ type: z.literal('preVote'), ...envelope, lastOffset: count, lastTerm: count }),
  z.object({ type: z.literal('preVoteReply'), ...envelope, isGranted: z.boolean() }),
  z.object({ type: z.literal('vote'), ...envelope, lastOffset: count, lastTerm: count }),
  z.object({ type: z.literal('voteReply'), ...envelope, isGranted: z.boolean() }),
  z.object({
    type: z.literal('append'),
    ...envelope,
    previousOffset: count,
    previousTerm: count,
    entries: z.array(LogEntry),
    commitOffset: count,
    readSequence: count
  }),
  z.object({
    type: z.literal('appendReply'),
    ...envelope,
    isAccepted: z.boolean(),
    matchOffset: count,
    conflictOffset: count,
    readSequence: count
  }),
  z.object({ type: z.literal('installSnapshot'), ...envelope, snapshot: LogSnapshot }),
  z.object({ type: z.literal('probe'), ...envelope }),
  z.object({ type: z.literal('probeReply'), ...envelope, isInitialised: z.boolean(), instances: z.array(z.string()).optional() }),
  z.object({ type: z.literal('genesis'), ...envelope, members: LogMembers })
])
export type ReplicaMessage = z.infer<typeof ReplicaMessage>
