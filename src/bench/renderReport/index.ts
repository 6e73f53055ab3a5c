import type { ExperimentReport } from '../ExperimentReport'

function renderTable (columns: string[], rows: Array<Array<string | number>>): string {
  const lines = [columns, columns.map(() => '---'), ...rows]
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n')
}

/**
 * @name renderReport
 * @category Bench
 * @summary Renders a report as a Markdown page.
 *
 * @param report - Results of the experiment.
 * @param origin - Command, seed and commit of the run.
 * @returns The text of the page.
 *
 * @example
 * renderReport(report, { command: 'npm run bench -- overhead', seed: 1, commit: 'abc1234' })
 */
export function renderReport (report: ExperimentReport, origin: { command: string, seed: number, commit: string }): string {
  const objectives = report.objectives.map(({ name, bound, measured, isMet }) => [name, bound, measured, isMet ? 'met' : 'not met'])
  const parts = [
    `# ${report.title}`,
    `Command: \`${origin.command}\`, seed ${origin.seed}, commit ${origin.commit}.`,
    renderTable(['objective', 'bound', 'measured', 'result'], objectives),
    ...report.tables.flatMap(table => [`## ${table.title}`, renderTable(table.columns, table.rows)]),
    ...report.notes.map(note => `- ${note}`)
  ]
  return parts.join('\n\n') + '\n'
}
