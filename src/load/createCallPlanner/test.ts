import { createRandom } from '../../standIn/createRandom'
import { LoadGroup } from '../LoadGroup'
import { createCallPlanner } from '.'

const group = LoadGroup.parse({
  loop: 'open',
  accounts: [{ name: 'big', key: 'k1', share: 9 }, { name: 'small', key: 'k2' }],
  calls: [{ kind: 'chat', service: 'llama', promptChars: [10, 900], maxTokens: [1, 50] }, { kind: 'booking', service: 'booking', hasKey: true }]
})
const listPlans = (seed: number) => Array.from({ length: 200 }, createCallPlanner(group, { urls: ['http://a', 'http://b'], idPrefix: 'g', random: createRandom(seed) }))

describe('createCallPlanner', () => {
  it('draws the same requests for a seed, by share and with unique keys, so that a failing run can be repeated', () => {
    const plans = listPlans(5)
    expect(listPlans(5)).toEqual(plans)
    expect(listPlans(6)).not.toEqual(plans)
    const small = plans.filter(({ account }) => account === 'small').length
    expect(small).toBeGreaterThan(5)
    expect(small).toBeLessThan(40)
    const keys = plans.flatMap(({ headers }) => headers['idempotency-key'] ?? [])
    expect(new Set(keys).size).toBe(keys.length)
  })
})
