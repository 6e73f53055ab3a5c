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
 * @summary What a document would change in the settings.
 *
 * @param tree - The settings.
 * @param document - New values by path; null deletes.
 * @param options - `isPruned`: settings that are not in the document are deleted, in the subtrees that it names.
 * @returns The changes in order of their paths, without hashes.
 *
 * @example
 * compareSettings(tree, { '/teams/sales/drains/r1': null }, { isPruned: false }).changes
 */
export function compareSettings (tree: SettingsTree, document: SettingsDocument, options: { isPruned: boolean }): SettingsDifference {
  const subtrees = [...new Set(Object.keys(document).map(path => resolveSubtree(path)))]
  const wanted = new Map(Object.entries(document))
  if (options.isPruned) {
    const stored = subtrees.flatMap(subtree => [...tree.list(subtree)])
    for (const [path] of stored) if (!wanted.has(path)) wanted.set(path, null)
  }
  const changes = [...wanted].flatMap(([path, value]) => {
    const before = tree.get(path) ?? null
    const after = restoreHashes(value, before)
    if (isDeepStrictEqual(before, after)) return []
    const shown = { before: removeHashes(before), after: removeHashes(after) }
    return [{ path, ...shown, hasHiddenChange: isDeepStrictEqual(shown.before, shown.after) }]
  })
  changes.sort((a, b) => a.path < b.path ? -1 : 1)
  return { offset: tree.offset, revisions: Object.fromEntries(subtrees.map(subtree => [subtree, tree.getRevision(subtree)])), changes }
}
