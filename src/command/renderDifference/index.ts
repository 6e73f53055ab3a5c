import type { SettingsDifference } from '../../contract/SettingsDifference'
import { renderTable } from '../renderTable'

/**
 * @name renderDifference
 * @category Command
 * @summary Formats the changes that a settings document would make as a table.
 *
 * @param difference - Difference between the document and the current settings.
 * @returns The table, or a sentence if there is no change.
 *
 * @example
 * renderDifference({ offset: 1, revisions: {}, changes: [] }) // 'No changes.'
 */
export function renderDifference ({ changes }: SettingsDifference): string {
  if (changes.length === 0) return 'No changes.'
  const rows = changes.map(({ path, before, after, hasHiddenChange }) => {
    if (hasHiddenChange) return [path, '(hash)', '(other hash)']
    return [path, before === null ? '-' : JSON.stringify(before), after === null ? '-' : JSON.stringify(after)]
  })
  return renderTable(['PATH', 'BEFORE', 'AFTER'], rows)
}
