import type { LoadReport } from '../LoadReport'

const COLUMNS = ['', 'requests', 'complete', 'other outcomes', 'tokens', 'p50 ms', 'p99 ms', 'max ms', 'first byte p99 ms']

/**
 * @name renderLoadReport
 * @category Load
 * @summary A report as a table for people.
 *
 * @param report - The figures.
 * @returns Lines with aligned columns.
 *
 * @example
 * process.stdout.write(renderLoadReport(report))
 */
export function renderLoadReport (report: LoadReport): string {
  const rows = [
    COLUMNS,
    createRow('total', report.total),
    ...Object.entries(report.kinds).map(([kind, figures]) => createRow(kind, figures)),
    ...Object.entries(report.accounts).map(([account, figures]) => createRow(`account ${account}`, figures))
  ]
  const widths = COLUMNS.map((_, column) => Math.max(...rows.map(row => row[column].length)))
  const lines = rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[0]) : cell.padStart(widths[column])).join('  '))
  const summary = `${report.requestsPerS.toFixed(1)} requests/s for ${report.durationS.toFixed(1)} s, seed ${report.seed}`
  return [...lines, summary, ''].join('\n')
}

function createRow (name: string, figures: LoadReport['total']): string[] {
  const { complete = 0, ...others } = figures.outcomes
  const otherText = Object.entries(others).map(([outcome, count]) => `${outcome} ${count}`).join(', ') || '0'
  const { p50Ms, p99Ms, maxMs } = figures.latency
  const times = [p50Ms, p99Ms, maxMs, figures.firstByte.p99Ms].map(ms => ms.toFixed(2))
  return [name, String(figures.requests), String(complete), otherText, String(figures.tokens), ...times]
}
