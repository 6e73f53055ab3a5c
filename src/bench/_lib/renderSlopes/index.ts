import type { ExperimentReport } from '../../ExperimentReport'
import { computeLine } from '../computeLine'
import type { Slope } from '../Slope'

const formatNumber = (value: number): string => Math.abs(value) >= 1_000 ? value.toFixed(0) : value.toPrecision(4).replace(/\.?0+$/, '')

/** Tables of the fitted lines and of the points behind them. */
export function renderSlopes (slopes: readonly Slope[]): ExperimentReport['tables'] {
  const fits = slopes.map(({ role, quantity, unit, per, points, atSize }) => {
    const { slope, intercept, largestResidual } = computeLine(points)
    const line = `${formatNumber(intercept)} + ${slope.toPrecision(4)} x`
    return [role, quantity, unit, per, line, `${(largestResidual * 100).toFixed(1)}%`, atSize, formatNumber(intercept + slope * atSize)]
  })
  return [
    { title: 'Fitted lines', columns: ['role', 'quantity', 'unit', 'x', 'line', 'largest residual', 'x at the size', 'value at the size'], rows: fits },
    {
      title: 'Measured points',
      columns: ['role', 'quantity', 'unit', 'x', 'points (x: y)'],
      rows: slopes.map(({ role, quantity, unit, per, points }) => [role, quantity, unit, per, points.map(([x, y]) => `${x}: ${formatNumber(y)}`).join(', ')])
    }
  ]
}
