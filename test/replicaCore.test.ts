import { ReplicaSimulation } from './_lib/ReplicaSimulation'
import type { PlantedFaults } from './_lib/ReplicaSimulation/RegisterMachine'

/** A longer run: PAPAYALEAD_SCHEDULES=50000 npx jest test/replicaCore */
const SCHEDULES = Number(process.env.PAPAYALEAD_SCHEDULES ?? 2_000)
const FIRST_SEED = Number(process.env.PAPAYALEAD_FIRST_SEED ?? 1)

/** The first violation of an invariant that matches. */
function findViolation (faults: PlantedFaults, schedules: number, invariant = /./): string | undefined {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + schedules; seed++) {
    try {
      new ReplicaSimulation(seed, faults).run()
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

  // Shows that each invariant is really checked: a planted fault must be found.
  it.each<[keyof PlantedFaults, RegExp]>([
    ['forgetsVotes', /one leader a term/],
    ['reportsUnsynced', /committed entries/],
    ['keepsIdentity', /committed entries/],
    ['keepsStateOnRestart', /no offset applied backwards/],
    ['ignoresChangeIds', /each change applied once/],
    ['ignoresRevisions', /one winner of a race/],
    ['skipsConfirmation', /no stale read/]
  ])('finds the planted fault %s', (fault, invariant) => {
    expect(findViolation({ [fault]: true }, 2_000, invariant)).toBeDefined()
  })
})
