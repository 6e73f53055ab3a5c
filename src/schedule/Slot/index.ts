/**
 * @name Slot
 * @category Schedule
 * @summary The right to run one request on one target.
 *
 * @description
 * `charge` adds cost while the answer streams. `release` settles the actual cost and must be called exactly once;
 * `isHealthy` false counts as a failure of the target.
 *
 * @example
 * slot.charge(1)
 * slot.release({ cost: 120, isHealthy: true })
 */
export interface Slot {
  readonly target: string
  readonly url: string
  charge: (cost: number) => void
  release: (result: { cost: number, isHealthy: boolean }) => void
}
