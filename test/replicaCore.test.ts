import { ReplicaSimulation } from './_lib/ReplicaSimulation'
import type { InjectedBugs } from './_lib/ReplicaSimulation/RevisionMachine'

/** Number of seeded schedules. For a longer run: PAPAYALEAD_SCHEDULES=50000 npx jest test/replicaCore */
const SCHEDULES = Number(process.env.PAPAYALEAD_SCHEDULES ?? 2_000)
const FIRST_SEED = Number(process.env.PAPAYALEAD_FIRST_SEED ?? 1)

/** Returns the first violation, by seed, of an invariant that matches. */
function findViolation (bugs: InjectedBugs, schedules: number, invariant = /./): string | undefined {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + schedules; seed++) {
    try {
      new ReplicaSimulation(seed, bugs).run()
    } catch (error) {
      const { message } = error as Error
      if (invariant.test(message)) return `seed ${seed}: ${message}`
    }
  }
  return undefined
}

describe('ReplicaCore in seeded schedules of faults', () => {
  it(`keeps the invariants in ${SCHEDULES} schedules`, () => {
    expect(findViolation({}, SCHEDULES)).toBeUndefined()
  }, 24 * 3_600_000)

  // Guards against an invariant that is not really checked: each injected bug must violate one.
  it.each<[keyof InjectedBugs, RegExp]>([
    ['skipsVoteWrite', /one leader a term/],
    ['reportsUnsynced', /committed entries/],
    ['keepsIdentity', /committed entries/],
    ['keepsStateOnRestart', /no offset applied backwards/],
    ['ignoresChangeIds', /each change applied once/],
    ['ignoresRevisions', /one winner of a race/],
    ['skipsConfirmation', /no stale read/]
  ])('finds the injected bug %s', (bug, invariant) => {
    expect(findViolation({ [bug]: true }, 2_000, invariant)).toBeDefined()
  })
})
