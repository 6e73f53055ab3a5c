import { DrainState } from '.'
import type { MaintenanceWindow } from '../../contract/MaintenanceWindow'

function createState (sources: Array<{ isDraining: (target: string) => boolean }> = []) {
  const listeners: Array<() => void> = []
  const values = { nowMs: Date.parse('2026-12-04T01:00Z'), drained: new Set<string>(), windows: [] as MaintenanceWindow[] }
  const drains = new DrainState({
    settings: {
      listWindows: () => values.windows,
      isDrainedByOperator: target => values.drained.has(target),
      subscribe: listener => {
        listeners.push(listener)
        return () => {}
      }
    },
    sources,
    getNowMs: () => values.nowMs
  })
  const update = () => listeners.forEach(listener => listener())
  return { drains, values, update }
}

describe('DrainState', () => {
  it('refuses new work for a target from two seconds before each weekly window until two seconds after it, so that clock skew between routers does not matter', () => {
    const { drains, values, update } = createState()
    values.windows = [{ targets: ['t1'], weekday: 5, start: '10:00', durationMinutes: 60, timeZone: 'Australia/Perth' }]
    update()
    for (const week of [0, 1, 2]) {
      const startMs = Date.parse('2026-12-04T02:00Z') + week * 7 * 86_400_000
      const expected: Array<[number, boolean]> = [[-2_001, true], [-2_000, false], [0, false], [3_600_000, false], [3_602_000, true]]
      for (const [offsetMs, isOpen] of expected) {
        values.nowMs = startMs + offsetMs
        expect([week, offsetMs, drains.isTargetOpen('t1'), drains.isTargetOpen('t2')]).toEqual([week, offsetMs, isOpen, true])
      }
    }
  })

  it('refuses new work for a target while any source drains it, so that the end of one drain does not reopen a target that another still drains', () => {
    const closed = new Set<string>()
    const { drains, values } = createState([{ isDraining: target => closed.has(target) }])
    values.drained.add('t1')
    closed.add('t1')
    expect(drains.isTargetOpen('t1')).toBe(false)
    values.drained.delete('t1')
    expect(drains.isTargetOpen('t1')).toBe(false)
    closed.delete('t1')
    expect(drains.isTargetOpen('t1')).toBe(true)
  })
})
