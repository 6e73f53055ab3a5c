interface Table {
  title: string
  columns: string[]
  rows: Array<Array<string | number>>
}

/**
 * @name ExperimentReport
 * @category Bench
 * @summary What an experiment measured.
 *
 * @description
 * `objectives`: each bound with the figure and whether it was met. `notes`: conditions of the run and causes of figures
 * that fall short, one sentence each.
 *
 * @example
 * const report: ExperimentReport = { title: 'Router overhead', tables: [], objectives: [], notes: [] }
 */
export interface ExperimentReport {
  title: string
  tables: Table[]
  objectives: Array<{ name: string, bound: string, measured: string, isMet: boolean }>
  notes: string[]
}
