import { z } from 'zod'

/**
 * @name LogMembers
 * @category Contract
 * @summary The replicas of a log group.
 *
 * @description
 * Replicas are named `<instance>:<disk incarnation>`, so that an instance with a new disk is another replica.
 * `clusterId` is drawn when the cluster is formed. `voters` count for elections and commits; `learners` only receive
 * entries. While voters are replaced, `previousVoters` holds the voters of before: decisions then need a majority of
 * both.
 *
 * @example
 * LogMembers.parse({ clusterId: 'x1', voters: ['c1:a', 'c2:b', 'c3:c'], learners: [] })
 */
export const LogMembers = z.object({ clusterId: z.string(), voters: z.array(z.string()), previousVoters: z.array(z.string()).optional(), learners: z.array(z.string()) })
export type LogMembers = z.infer<typeof LogMembers>
