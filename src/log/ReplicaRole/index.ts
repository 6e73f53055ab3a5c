/**
 * @name ReplicaRole
 * @category Log
 * @summary Role of a replica. A learner is a follower that is not a voter.
 *
 * @example
 * const role: ReplicaRole = 'follower'
 */
export type ReplicaRole = 'follower' | 'preCandidate' | 'candidate' | 'leader'
