import { z } from 'zod'

/**
 * @name ReplicaVote
 * @category Contract
 * @summary Content of a replica's vote file.
 *
 * @example
 * ReplicaVote.parse({ id: 'c1:a', term: 3, votedFor: 'c2:b' })
 */
export const ReplicaVote = z.object({
  /** Replica id `<instance>:<disk incarnation>`. */
  id: z.string(),
  term: z.number().int().nonnegative(),
  /** Candidate or leader that the replica supports in `term`; null if none. */
  votedFor: z.string().nullable()
})
export type ReplicaVote = z.infer<typeof ReplicaVote>
