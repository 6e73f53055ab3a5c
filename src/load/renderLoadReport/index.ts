import type { LoadReport } from '../LoadReport'

const COLUMNS = ['', 'requests', 'complete', 'other outcomes', 'tokens', 'p50 ms', 'p99 ms', 'max ms', 'first byte p99 ms']

/**
 * @name renderLoadReport
 * @category Load
 * @summary Formats a report as a text table.
 *
 * @param report - Report of a load generator run.
 * @returns Lines with aligned columns.
 *
 * @example
 * process.stdout.write(renderLoadReport(report))
 */
export function renderLoadReport (report: LoadReport): string {
  const rows = [
    COLUMNS,
    createRow('total', report.total),
    ...Object.entries(report.kinds).map(([kind, metrics]) => createRow(kind, metrics)),
    ...Object.entries(report.accounts).map(([account, metrics]) => createRow(`account ${account}`, metrics))
  ]
  const widths = COLUMNS.map((_, column) => Math.max(...rows.map(row => row[column].length)))
  const lines = rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[0]) : cell.padStart(widths[column])).join('  '))
  const summary = `${report.requestsPerS.toFixed(1)} requests/s for ${report.durationS.toFixed(1)} s, seed ${report.seed}`
  return [...lines, summary, ''].join('\n')
}

function createRow (name: string, metrics: LoadReport['total']): string[] {
  const { complete = 0, ...others } = metrics.outcomes
  const otherText = Object.entries(others).map(([outcome, count]) => `${outcome} ${count}`).join(', ') || '0'
  const { p50Ms, p99Ms, maxMs } = metrics.latency
  const times = [p50Ms, p99Ms, maxMs, metrics.firstByte.p99Ms].map(ms => ms.toFixed(2))
  return [name, String(metrics.requests), String(complete), otherText, String(metrics.tokens), ...times]
}
