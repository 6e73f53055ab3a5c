import { computeMembersWithReplacement } from '.'

const members = { clusterId: 'x', voters: ['a:1', 'b:1', 'c:1'], learners: ['d:1', 'e:1'] }
const state = (lost: string[], current: string[], maxVoters = 3) => ({ isLost: (id: string) => lost.includes(id), isCurrent: (id: string) => current.includes(id), maxVoters })

describe('computeMembersWithReplacement', () => {
  // Guards against a fleet that can't tolerate a second loss because the first lost machine never came back.
  it('replaces a lost voter by a learner that holds every committed entry', () => {
    expect(computeMembersWithReplacement(members, state(['b:1'], ['e:1']))).toEqual({ clusterId: 'x', voters: ['a:1', 'e:1', 'c:1'], previousVoters: ['a:1', 'b:1', 'c:1'], learners: ['d:1'] })
  })

  it('keeps a lost voter while no learner is current', () => {
    expect(computeMembersWithReplacement(members, state(['b:1'], []))).toBeUndefined()
  })

  it('grows by two voters at once, so that their number stays odd', () => {
    expect(computeMembersWithReplacement(members, state([], ['d:1', 'e:1'], 5))?.voters).toEqual(['a:1', 'b:1', 'c:1', 'd:1', 'e:1'])
    expect(computeMembersWithReplacement(members, state([], ['d:1'], 5))).toBeUndefined()
    expect(computeMembersWithReplacement(members, state([], ['d:1', 'e:1'], 3))).toBeUndefined()
  })
})
