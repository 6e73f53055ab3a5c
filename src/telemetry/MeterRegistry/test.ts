import { MeterRegistry } from '.'
import { PrometheusMetrics } from '../PrometheusMetrics'

describe('MeterRegistry', () => {
  it('exports the sum of each counter and the latest value of each gauge, with their labels', async () => {
    const metrics = new PrometheusMetrics({})
    const meters = new MeterRegistry(metrics)
    meters.addCount('grants')
    meters.addCount('grants', 2)
    meters.setGauge('free{service="a"}', 4)
    meters.setGauge('free{service="a"}', 3)
    meters.setGauge('free{service="b"}', 1)
    const lines = (await metrics.render()).split('\n').filter(line => /^papayalead_(grants|free)/.test(line))
    expect(lines).toEqual(['papayalead_grants_total 3', 'papayalead_free{service="a"} 3', 'papayalead_free{service="b"} 1'])
    expect(await metrics.render()).toContain('papayalead_grants_total 3')
  })
})
