const COLUMN_GAP = '  '

/**
 * @name renderTable
 * @category Command
 * @summary Formats rows as aligned columns of text.
 *
 * @param columns - Column titles.
 * @param rows - Cells of each row.
 * @returns The lines, without a trailing line feed.
 *
 * @example
 * renderTable(['TARGET', 'SLOTS'], [['runner-1', 8]])
 */
export function renderTable (columns: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
  const lines = [columns, ...rows].map(row => row.map(String))
  const widths = columns.map((_title, index) => Math.max(...lines.map(line => line[index].length)))
  return lines.map(line => line.map((cell, index) => cell.padEnd(widths[index])).join(COLUMN_GAP).trimEnd()).join('\n')
}
