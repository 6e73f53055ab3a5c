import { randomUUID } from 'node:crypto'
import { resolveSubtree } from '../../../src/configuration/resolveSubtree'
import { waitFor } from '../waitFor'

interface ApplyOptions { controlUrls: string[], token: string }

/**
 * Applies settings as an operator does, with one change per subtree. Resends each change until a control replica accepts
 * it, and throws if none has accepted it after 20 s. Returns the log offset of the last change.
 */
export async function applySettings (settings: Record<string, unknown>, options: ApplyOptions): Promise<number> {
  let offset = 0
  const paths = Object.keys(settings)
  for (const subtree of new Set(paths.map(resolveSubtree))) {
    const operations = paths.filter(path => resolveSubtree(path) === subtree).map(path => ({ path, value: settings[path] }))
    const change = { changeId: randomUUID(), subtree, operations, operator: 'test', atMs: Date.now() }
    offset = await waitFor(`the change of ${subtree}`, () => sendChange(change, options))
  }
  return offset
}

async function sendChange (change: object, options: ApplyOptions): Promise<number> {
  let reason = 'no URL of a control replica was given'
  for (const url of options.controlUrls) {
    try {
      const response = await fetch(`${url}/v1/changes`, {
        method: 'POST',
        headers: { authorization: `Bearer ${options.token}`, 'content-type': 'application/json' },
        body: JSON.stringify(change),
        signal: AbortSignal.timeout(5_000)
      })
      const text = await response.text()
      if (response.ok) return JSON.parse(text).offset
      reason = `${url}: ${response.status} ${text}`
    } catch (error) {
      reason = `${url}: ${String(error)}`
    }
  }
  throw new Error(reason)
}
