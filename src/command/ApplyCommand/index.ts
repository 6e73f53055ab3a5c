import { randomUUID } from 'node:crypto'
import { Args, Flags } from '@oclif/core'
import { resolveSubtree } from '../../configuration/resolveSubtree'
import type { SettingsDifference } from '../../contract/SettingsDifference'
import { loadDocument } from '../loadDocument'
import { OperatorCommand } from '../OperatorCommand'
import { renderChangeResult } from '../renderChangeResult'
import { renderDifference } from '../renderDifference'

/** `papayalead apply`: applies a settings document, with one atomic change for each subtree. */
export class ApplyCommand extends OperatorCommand {
  static override id = 'apply'
  static override description = 'Apply a settings document. Each subtree is changed atomically, and only if it has not changed since it was compared with the file.'
  static override args = { file: Args.string({ required: true, description: 'settings by path, in JSON with comments; null deletes' }) }
  static override flags = {
    ...OperatorCommand.changeFlags,
    prune: Flags.boolean({ description: 'also delete settings that are not in the file, in the subtrees that it names' })
  }

  static override examples = ['<%= config.bin %> apply sales.jsonc --wait']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(ApplyCommand)
    const document = loadDocument(args.file)
    const body = { values: document, isPruned: flags.prune }
    const difference = await this.runRequest<SettingsDifference>(flags, { method: 'POST', path: '/v1/diff', body }, renderDifference)
    const changeId = flags['change-id'] ?? randomUUID()
    for (const [subtree, expectedRevision] of Object.entries(difference.revisions)) {
      const paths = difference.changes.map(({ path }) => path).filter(path => resolveSubtree(path) === subtree)
      if (paths.length === 0) continue
      const change = { subtree, expectedRevision, operations: paths.map(path => ({ path, value: document[path] ?? null })) }
      const options = { ...flags, 'change-id': `${changeId}:${subtree}` }
      await this.runChange(options, { path: '/v1/changes', body: change }, (result: Parameters<typeof renderChangeResult>[0]) => `${subtree}: ${renderChangeResult(result)}`)
    }
  }
}
