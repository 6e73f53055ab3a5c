import { randomUUID } from 'node:crypto'
import { z } from 'zod'
import { compareSettings } from '../../configuration/compareSettings'
import { removeHashes } from '../../configuration/removeHashes'
import { resolveSubtree } from '../../configuration/resolveSubtree'
import { waitForObservers } from '../../configuration/waitForObservers'
import { AppError } from '../../contract/AppError'
import type { FleetStatus } from '../../contract/FleetStatus'
import { Name } from '../../contract/Name'
import { OperatorChange } from '../../contract/OperatorChange'
import { SettingsBackup } from '../../contract/SettingsBackup'
import { SettingsDocument } from '../../contract/SettingsDocument'
import { createQuorumStatus } from '../_lib/createQuorumStatus'
import { applyChange } from '../_lib/applyChange'
import type { OperatorCall } from '../_lib/OperatorCall'
import { restoreBackup } from '../_lib/restoreBackup'
import { runTargetCommand } from '../_lib/runTargetCommand'
import { checkPermission } from '../checkPermission'

interface OperatorRoute {
  method: 'GET' | 'POST'
  path: string
  run: (call: OperatorCall) => Promise<unknown> | unknown
}

const MAX_WAIT_MS = 60_000
const MAX_HISTORY = 1_000
const DEFAULT_HISTORY = 50
const WaitQuery = z.object({ waitMs: z.coerce.number().int().min(0).max(MAX_WAIT_MS).optional() })
const HistoryQuery = z.object({ prefix: z.string().default('/'), limit: z.coerce.number().int().min(1).max(MAX_HISTORY).default(DEFAULT_HISTORY) })
const DrainBody = z.strictObject({ target: Name, reason: z.string().max(500).default(''), changeId: z.string().min(1).max(100).optional() })
const DiffBody = z.strictObject({ values: SettingsDocument, isPruned: z.boolean().default(false) })
const RestoreBody = z.strictObject({ backup: SettingsBackup, changeId: z.string().min(1).max(100).optional() })

/**
 * @name operatorRoutes
 * @category Instance
 * @summary Routes of the operator API.
 *
 * @description
 * `GET /v1/setting?path=`, `GET /v1/settings?prefix=`, `POST /v1/changes?waitMs=`, `POST /v1/diff`,
 * `GET /v1/history?prefix=&limit=`, `GET /v1/status`, `POST /v1/drain`, `POST /v1/undrain`, `GET /v1/backup`,
 * `POST /v1/restore`, `POST /v1/commands` (command to an engine). Every operator may read all settings; placeholders
 * replace the hashes of keys and tokens. A backup contains the hashes, so backup and restore need permission for the
 * subtree `/`.
 *
 * @example
 * operatorRoutes.map(route => `${route.method} ${route.path}`)
 */
export const operatorRoutes: readonly OperatorRoute[] = [
  { method: 'GET', path: '/v1/setting', run: getSetting },
  { method: 'GET', path: '/v1/settings', run: listSettings },
  { method: 'POST', path: '/v1/changes', run: runChange },
  { method: 'POST', path: '/v1/diff', run: runDiff },
  { method: 'GET', path: '/v1/history', run: listHistory },
  { method: 'GET', path: '/v1/status', run: getStatus },
  { method: 'POST', path: '/v1/drain', run: call => setDrain(call, true) },
  { method: 'POST', path: '/v1/undrain', run: call => setDrain(call, false) },
  { method: 'GET', path: '/v1/backup', run: getBackup },
  { method: 'POST', path: '/v1/restore', run: runRestore },
  { method: 'POST', path: '/v1/commands', run: runTargetCommand }
]

function getSetting ({ tree, request }: OperatorCall): unknown {
  const path = request.query.path ?? ''
  const value = tree.get(path)
  if (value === undefined) throw new AppError('not-found', `There is no setting ${path}.`)
  const subtree = resolveSubtree(path)
  return { path, value: removeHashes(value), subtree, revision: tree.getRevision(subtree), offset: tree.offset }
}

function listSettings ({ tree, request }: OperatorCall): unknown {
  const entries = [...tree.list(request.query.prefix ?? '/')].sort(([a], [b]) => a < b ? -1 : 1)
  const subtrees = new Set(entries.map(([path]) => resolveSubtree(path)))
  if (/^\/(fleet|teams\/[^/]+)/.test(request.query.prefix ?? '')) subtrees.add(resolveSubtree(request.query.prefix))
  const revisions = Object.fromEntries([...subtrees].map(subtree => [subtree, tree.getRevision(subtree)]))
  return { offset: tree.offset, revisions, values: Object.fromEntries(entries.map(([path, value]) => [path, removeHashes(value)])) }
}

async function runChange (call: OperatorCall): Promise<unknown> {
  const change = parseInput(OperatorChange, call.request.body)
  const { waitMs } = parseInput(WaitQuery, call.request.query)
  const result = await applyChange(call, change)
  return { ...result, ...await waitUntilApplied(call, result.offset, waitMs) }
}

function runDiff ({ tree, request }: OperatorCall): unknown {
  const { values, isPruned } = parseInput(DiffBody, request.body)
  return compareSettings(tree, values, { isPruned })
}

function listHistory ({ tree, request }: OperatorCall): unknown {
  const { prefix, limit } = parseInput(HistoryQuery, request.query)
  return { changes: tree.listHistory(prefix, { maxEntries: limit }) }
}

function getStatus ({ instance, tree, fleet, getLog }: OperatorCall): FleetStatus {
  const nowMs = performance.now()
  return {
    answeredBy: instance,
    isSettled: fleet.isSettled(nowMs),
    offset: tree.offset,
    quorum: createQuorumStatus(getLog().getStatus()),
    instances: fleet.listInstances(nowMs),
    targets: fleet.listTargets(tree, nowMs),
    accounts: fleet.listAccounts(tree, nowMs)
  }
}

async function setDrain (call: OperatorCall, isDraining: boolean): Promise<unknown> {
  const { target, reason, changeId } = parseInput(DrainBody, call.request.body)
  const { waitMs } = parseInput(WaitQuery, call.request.query)
  const pattern = new RegExp(`^/teams/[^/]+/targets/${target.replaceAll('.', '\\.')}$`)
  const targetPath = [...call.tree.list('/teams')].map(([path]) => path).find(path => pattern.test(path))
  if (targetPath === undefined) throw new AppError('not-found', `There is no target ${target}.`)
  const path = targetPath.replace('/targets/', '/drains/')
  const result = await applyChange(call, { changeId, operations: [{ path, value: isDraining ? { reason } : null }] })
  return { ...result, path, ...await waitUntilApplied(call, result.offset, waitMs) }
}

function getBackup ({ tree, operator }: OperatorCall): SettingsBackup {
  checkPermission(operator, ['/'])
  return { format: 'papayalead-settings', version: 1, offset: tree.offset, values: Object.fromEntries(tree.list('/')) }
}

async function runRestore (call: OperatorCall): Promise<unknown> {
  checkPermission(call.operator, ['/'])
  const { backup, changeId } = parseInput(RestoreBody, call.request.body)
  const { waitMs } = parseInput(WaitQuery, call.request.query)
  const result = await restoreBackup(call, backup, changeId ?? randomUUID())
  return { ...result, ...await waitUntilApplied(call, result.offset, waitMs) }
}

/** If the operator asked to wait, waits and returns the observers that have applied the change and those that have not. */
async function waitUntilApplied (call: OperatorCall, offset: number, timeoutMs: number | undefined): Promise<object> {
  if (timeoutMs === undefined) return {}
  return waitForObservers({ offset, timeoutMs, collectReports: call.collectReports, isSettled: () => call.fleet.isSettled(performance.now()) })
}

function parseInput<T> (schema: z.ZodType<T>, input: unknown): T {
  const parsed = schema.safeParse(input)
  if (parsed.success) return parsed.data
  const [issue] = parsed.error.issues
  throw new AppError('bad-request', `${issue.path.join('.') || 'body'}: ${issue.message}`)
}
