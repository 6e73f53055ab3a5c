interface Table {
  title: string
  columns: string[]
  rows: Array<Array<string | number>>
}

/**
 * @name ExperimentReport
 * @category Bench
 * @summary Results of an experiment.
 *
 * @example
 * const report: ExperimentReport = { title: 'Router overhead', tables: [], objectives: [], notes: [] }
 */
export interface ExperimentReport {
  title: string
  tables: Table[]
  /** Each objective with its bound, the measured figure and whether the bound was met. */
  objectives: Array<{ name: string, bound: string, measured: string, isMet: boolean }>
  /** Conditions of the run and causes of missed objectives, one list item each. */
  notes: string[]
}
