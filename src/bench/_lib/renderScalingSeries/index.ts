import type { ExperimentReport } from '../../ExperimentReport'
import { computeLine } from '../computeLine'
import type { ScalingSeries } from '../ScalingSeries'

const formatNumber = (value: number): string => Math.abs(value) >= 1_000 ? value.toFixed(0) : value.toPrecision(4).replace(/\.?0+$/, '')

/** Renders a table of the fitted lines and a table of the measured points. */
export function renderScalingSeries (series: readonly ScalingSeries[]): ExperimentReport['tables'] {
  const fits = series.map(({ role, quantity, unit, variable, points, projectedSize }) => {
    const { slope, intercept, largestResidual } = computeLine(points)
    const line = `${formatNumber(intercept)} + ${slope.toPrecision(4)} x`
    return [role, quantity, unit, variable, line, `${(largestResidual * 100).toFixed(1)}%`, projectedSize, formatNumber(intercept + slope * projectedSize)]
  })
  return [
    { title: 'Fitted lines', columns: ['role', 'quantity', 'unit', 'x', 'line', 'largest residual', 'x at the size', 'value at the size'], rows: fits },
    {
      title: 'Measured points',
      columns: ['role', 'quantity', 'unit', 'x', 'points (x: y)'],
      rows: series.map(({ role, quantity, unit, variable, points }) => [role, quantity, unit, variable, points.map(([x, y]) => `${x}: ${formatNumber(y)}`).join(', ')])
    }
  ]
}
