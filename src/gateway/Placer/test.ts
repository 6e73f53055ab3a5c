import { TargetLoads } from '../../routing/TargetLoads'
import { Placer } from '.'

const createTarget = (id: string, zone: string) => ({ id, service: 's', host: '10.0.0.1', port: 1, zone, slots: 6, isDraining: false, warmupMs: 0 })
const targets = [createTarget('near', 'z1'), createTarget('far', 'z2')]

function createPlacer () {
  const loads = new TargetLoads()
  return { loads, placer: new Placer({ zone: 'z1', loads, listTargets: () => targets, random: () => 0 }) }
}
const place = (placer: Placer, excluded: string[] = [], nowMs = 0) => placer.place({ service: 's', excluded: new Set(excluded) }, nowMs)?.id

describe('Placer', () => {
  it('takes the target of the own zone until the other is clearly less busy', () => {
    const { loads, placer } = createPlacer()
    expect(place(placer)).toBe('near')
    for (let i = 0; i < 3; i++) loads.add('near', { tokens: 0 })
    expect(place(placer)).toBe('far')
  })

  it('leaves out excluded targets and those with an open circuit, but never all of them for that', () => {
    const { placer } = createPlacer()
    expect(place(placer, ['near'])).toBe('far')
    placer.circuits.open('near', 0)
    expect(place(placer, [], 1)).toBe('far')
    placer.circuits.open('far', 1)
    expect(place(placer, [], 2)).toBe('near')
    expect(place(placer, ['near', 'far'], 2)).toBeUndefined()
  })
})
