/**
 * @name MetricsSink
 * @category Schedule
 * @summary Receives the metrics of the scheduler.
 *
 * @example
 * const metrics: MetricsSink = { addCount: () => {}, setGauge: () => {} }
 */
export interface MetricsSink {
  addCount: (name: string, amount?: number) => void
  setGauge: (name: string, value: number) => void
}
