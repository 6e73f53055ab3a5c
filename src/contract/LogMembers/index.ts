import { z } from 'zod'

/**
 * @name LogMembers
 * @category Contract
 * @summary The replicas of a log group.
 *
 * @description
 * A replica id has the form `<instance>:<disk incarnation>`. An instance with a new disk is therefore another replica.
 *
 * @example
 * LogMembers.parse({ clusterId: 'x1', voters: ['c1:a', 'c2:b', 'c3:c'], learners: [] })
 */
export const LogMembers = z.object({
  /** Random id that is generated when the cluster is formed. */
  clusterId: z.string(),
  /** Replicas that count for elections and commits. */
  voters: z.array(z.string()),
  /**
   * Former voters; present while voters are replaced. Elections and commits then need a majority of both sets of voters
   * (joint consensus).
   */
  previousVoters: z.array(z.string()).optional(),
  /** Replicas that only receive entries. */
  learners: z.array(z.string())
})
export type LogMembers = z.infer<typeof LogMembers>
