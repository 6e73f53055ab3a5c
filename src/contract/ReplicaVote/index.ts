import { z } from 'zod'

/**
 * @name ReplicaVote
 * @category Contract
 * @summary Content of a replica's vote file.
 *
 * @description
 * `id`: `<instance>:<disk incarnation>`. `votedFor`: the candidate or leader that this replica supports in `term`.
 *
 * @example
 * ReplicaVote.parse({ id: 'c1:a', term: 3, votedFor: 'c2:b' })
 */
export const ReplicaVote = z.object({
  id: z.string(),
  term: z.number().int().nonnegative(),
  votedFor: z.string().nullable()
})
export type ReplicaVote = z.infer<typeof ReplicaVote>
