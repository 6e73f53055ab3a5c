import { RotationPermits } from '.'
import { PERMIT_TTL_MS } from '../PERMIT_TTL_MS'

/** Reports of routers with the given numbers; returns the numbers of those that may leave. */
function observeAll (permits: RotationPermits, numbers: readonly number[], { zone = 'a', isOverloaded = true, nowMs = 0 } = {}): number[] {
  return numbers.filter(number => permits.observe({ router: `${zone}${number}`, zone, isOverloaded }, nowMs))
}

const EIGHT = [1, 2, 3, 4, 5, 6, 7, 8]

describe('RotationPermits', () => {
  // Guards against a zone whose routers all leave the rotation, because all are overloaded.
  it('lets a quarter of the routers of each zone leave', () => {
    const permits = new RotationPermits()
    for (const zone of ['a', 'b']) observeAll(permits, EIGHT, { zone, isOverloaded: false })
    for (const zone of ['a', 'b']) expect(observeAll(permits, EIGHT, { zone })).toEqual([1, 2])
    expect(observeAll(permits, EIGHT, { nowMs: 250 })).toEqual([1, 2])
  })

  // Guards against a hot router that keeps its callers while the others of a small zone are idle.
  it('lets one router of a small zone leave, but not the only one', () => {
    const permits = new RotationPermits()
    expect(observeAll(permits, [1])).toEqual([])
    observeAll(permits, [2], { isOverloaded: false })
    expect(observeAll(permits, [1])).toEqual([1])
  })

  it('grants the permit to another router once its holder has recovered', () => {
    const permits = new RotationPermits()
    observeAll(permits, EIGHT, { isOverloaded: false })
    observeAll(permits, EIGHT)
    observeAll(permits, [1], { isOverloaded: false, nowMs: 500 })
    expect(observeAll(permits, [2, 3, 4], { nowMs: 500 })).toEqual([2, 3])
  })

  // Guards against more routers out of rotation than permitted: a busy router reports seldom, and its permit went to
  // another one while it still used it.
  it('grants the permit of a silent holder to another router only after the holder has stopped using it', () => {
    const permits = new RotationPermits()
    const observeCalmRouters = (nowMs: number) => observeAll(permits, [3, 4, 5, 6, 7, 8], { isOverloaded: false, nowMs })
    observeAll(permits, EIGHT, { isOverloaded: false })
    expect(observeAll(permits, [1, 2])).toEqual([1, 2])
    observeCalmRouters(PERMIT_TTL_MS)
    expect(observeAll(permits, [3, 4], { nowMs: PERMIT_TTL_MS })).toEqual([])
    observeCalmRouters(PERMIT_TTL_MS + 2_000)
    expect(observeAll(permits, [3, 4], { nowMs: PERMIT_TTL_MS + 2_000 })).toEqual([3])
  })
})
