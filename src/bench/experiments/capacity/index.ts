import { measureControl } from '../../_lib/capacity/measureControl'
import { measureIdleFleet } from '../../_lib/capacity/measureIdleFleet'
import { measureMessages } from '../../_lib/capacity/measureMessages'
import { measureRouterState } from '../../_lib/capacity/measureRouterState'
import { measureSchedulerDecisions } from '../../_lib/capacity/measureSchedulerDecisions'
import { createMachineNote } from '../../_lib/createMachineNote'
import { renderScalingSeries } from '../../_lib/renderScalingSeries'
import type { Experiment } from '../../Experiment'

/**
 * Measures how state, messages, CPU and memory of each role grow. docs/CAPACITY.md derives the size
 * projected after two years from the results.
 */
export const capacity: Experiment = {
  name: 'capacity',
  measure: async () => {
    const series = [
      ...await measureRouterState(),
      ...await measureSchedulerDecisions(),
      ...await measureMessages(),
      ...await measureControl(),
      ...await measureIdleFleet()
    ]
    return {
      title: 'Capacity: growth of state, messages, CPU and memory',
      tables: renderScalingSeries(series),
      objectives: [],
      notes: [
        'Heap size, message sizes and CPU time per operation are measured by calling the production classes in one process (CPU time: median of three runs after a warm-up). Idle traffic, idle CPU and commits are measured on fleets of real processes on loopback addresses.',
        'The workload is fixed; the seed is not used.',
        createMachineNote()
      ]
    }
  }
}
