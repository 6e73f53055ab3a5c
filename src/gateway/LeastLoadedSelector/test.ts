import { TargetLoads } from '../../routing/TargetLoads'
import { LeastLoadedSelector } from '.'

const createTarget = (id: string, zone: string) => ({ id, service: 's', host: '10.0.0.1', port: 1, zone, slots: 6, isDraining: false, warmupMs: 0 })
const targets = [createTarget('near', 'z1'), createTarget('far', 'z2')]

function createSelector () {
  const loads = new TargetLoads()
  return { loads, selector: new LeastLoadedSelector({ zone: 'z1', loads, listTargets: () => targets, random: () => 0 }) }
}
const select = (selector: LeastLoadedSelector, excluded: string[] = [], nowMs = 0) => selector.select({ service: 's', excluded: new Set(excluded) }, nowMs)?.id

describe('LeastLoadedSelector', () => {
  it('selects the target in the own zone until the one in the other zone is clearly less loaded', () => {
    const { loads, selector } = createSelector()
    expect(select(selector)).toBe('near')
    for (let i = 0; i < 3; i++) loads.add('near', { tokens: 0 })
    expect(select(selector)).toBe('far')
  })

  it('skips excluded targets, and targets with an open circuit unless every circuit is open', () => {
    const { selector } = createSelector()
    expect(select(selector, ['near'])).toBe('far')
    selector.circuits.open('near', 0)
    expect(select(selector, [], 1)).toBe('far')
    selector.circuits.open('far', 1)
    expect(select(selector, [], 2)).toBe('near')
    expect(select(selector, ['near', 'far'], 2)).toBeUndefined()
  })
})
