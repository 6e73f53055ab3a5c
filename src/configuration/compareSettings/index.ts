import { isDeepStrictEqual } from 'node:util'
import type { SettingsDifference } from '../../contract/SettingsDifference'
import type { SettingsDocument } from '../../contract/SettingsDocument'
import { removeHashes } from '../removeHashes'
import { resolveSubtree } from '../resolveSubtree'
import { restoreHashes } from '../restoreHashes'
import type { SettingsTree } from '../SettingsTree'

/**
 * @name compareSettings
 * @category Configuration
 * @summary Computes the changes that applying a settings document would make.
 *
 * @param tree - The current settings.
 * @param document - New values by path; null deletes the setting.
 * @param options - `isPruned`: in the subtrees that the document names, settings that it does not contain are deleted.
 * @returns The changes sorted by path, with hashes replaced by placeholders.
 *
 * @example
 * compareSettings(tree, { '/teams/sales/drains/r1': null }, { isPruned: false }).changes
 */
export function compareSettings (tree: SettingsTree, document: SettingsDocument, options: { isPruned: boolean }): SettingsDifference {
  const subtrees = [...new Set(Object.keys(document).map(path => resolveSubtree(path)))]
  const desiredValues = new Map(Object.entries(document))
  if (options.isPruned) {
    const stored = subtrees.flatMap(subtree => [...tree.list(subtree)])
    for (const [path] of stored) if (!desiredValues.has(path)) desiredValues.set(path, null)
  }
  const changes = [...desiredValues].flatMap(([path, value]) => {
    const before = tree.get(path) ?? null
    const after = restoreHashes(value, before)
    if (isDeepStrictEqual(before, after)) return []
    const redacted = { before: removeHashes(before), after: removeHashes(after) }
    return [{ path, ...redacted, hasHiddenChange: isDeepStrictEqual(redacted.before, redacted.after) }]
  })
  changes.sort((a, b) => a.path < b.path ? -1 : 1)
  return { offset: tree.offset, revisions: Object.fromEntries(subtrees.map(subtree => [subtree, tree.getRevision(subtree)])), changes }
}
