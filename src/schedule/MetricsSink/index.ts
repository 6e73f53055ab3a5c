/**
 * @name MetricsSink
 * @category Schedule
 * @summary Where the scheduler reports its figures.
 *
 * @example
 * const metrics: MetricsSink = { addCount: () => {}, setGauge: () => {} }
 */
export interface MetricsSink {
  addCount: (name: string, amount?: number) => void
  setGauge: (name: string, value: number) => void
}
