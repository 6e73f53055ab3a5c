import { SettingsTree } from '../../../../configuration/SettingsTree'
import { SettingsView } from '../../../../configuration/SettingsView'
import { resolveSubtree } from '../../../../configuration/resolveSubtree'
import { ZoneSchedulerClient } from '../../../../instance/_lib/ZoneSchedulerClient'
import { FleetAdmissionGate } from '../../../../schedule/FleetAdmissionGate'
import { createFleetSettings } from '../../createFleetSettings'
import { measureCpuMs } from '../../measureCpuMs'
import { measureHeap } from '../../measureHeap'
import type { ScalingSeries } from '../../ScalingSeries'

const ACCOUNTS = [1_000, 4_000, 7_000, 10_000, 13_000]
const TARGETS = [200, 800, 1_400, 2_000, 2_600]
const RESULT_COUNTS = [2_000, 4_000, 8_000, 16_000]
const LEDGER_ENTRIES = [3_000, 6_000, 13_000, 26_000]
const CHANGES = 50
const SMALL_FLEET = { accounts: 16, targets: 13, services: 7, zones: 16 }
const CHANGES_PER_DAY = 7_000
const DAYS_IN_TWO_YEARS = 730

/**
 * Measures the memory of the settings copy, the change results and the ledger copy of a router, and the CPU time of a
 * settings change.
 */
export async function measureRouterState (): Promise<ScalingSeries[]> {
  const measureHeapBy = (size: Partial<typeof SMALL_FLEET>): number => measureHeap(() => createSettingsCopy({ ...SMALL_FLEET, ...size }))
  const measureCpuBy = (size: Partial<typeof SMALL_FLEET>): Promise<number> => measureChange(createSettingsCopy({ ...SMALL_FLEET, ...size }))
  return [
    { role: 'router', quantity: 'heap of the settings copy', unit: 'bytes', variable: 'accounts', points: ACCOUNTS.map(accounts => [accounts, measureHeapBy({ accounts })]), projectedSize: 13_000 },
    { role: 'router', quantity: 'heap of the settings copy', unit: 'bytes', variable: 'runners', points: TARGETS.map(targets => [targets, measureHeapBy({ targets })]), projectedSize: 2_600 },
    { role: 'router', quantity: 'CPU of one settings change', unit: 'ms', variable: 'accounts', points: await measureEach(ACCOUNTS, accounts => measureCpuBy({ accounts })), projectedSize: 13_000 },
    { role: 'router', quantity: 'CPU of one settings change', unit: 'ms', variable: 'runners', points: await measureEach(TARGETS, targets => measureCpuBy({ targets })), projectedSize: 2_600 },
    { role: 'router', quantity: 'heap of the results of changes', unit: 'bytes', variable: 'changes since the start of the log', points: RESULT_COUNTS.map(changes => [changes, measureHeap(() => createChangeResults(changes))]), projectedSize: CHANGES_PER_DAY * DAYS_IN_TWO_YEARS },
    { role: 'router', quantity: 'heap of the ledger copy', unit: 'bytes', variable: '(account, service) pairs of the availability zone', points: LEDGER_ENTRIES.map(entries => [entries, measureHeap(() => createLedger(entries))]), projectedSize: 13_000 }
  ]
}

async function measureEach (sizes: number[], measure: (size: number) => Promise<number>): Promise<Array<[number, number]>> {
  const points: Array<[number, number]> = []
  for (const size of sizes) points.push([size, await measure(size)])
  return points
}

interface SettingsCopy {
  tree: SettingsTree
  view: SettingsView
}

function createSettingsCopy (size: typeof SMALL_FLEET): SettingsCopy {
  const tree = new SettingsTree()
  const view = new SettingsView()
  // One change per path, because operators create the settings over time.
  for (const [path, value] of createFleetSettings(size)) applyChange(tree, path, value)
  view.update(tree)
  return { tree, view }
}

function applyChange (tree: SettingsTree, path: string, value: object): void {
  const offset = tree.offset + 1
  tree.apply({ changeId: `change-${offset}`, subtree: resolveSubtree(path), operations: [{ path, value }], operator: 'operator', atMs: 0 }, offset)
}

/** Measures the CPU time in milliseconds to apply one change of an account in a router. */
async function measureChange ({ tree, view }: SettingsCopy): Promise<number> {
  let weight = 1
  const cpuMs = await measureCpuMs(() => {
    for (let count = 0; count < CHANGES; count++) {
      weight++
      applyChange(tree, '/teams/team-0/accounts/account-0', { keyHashes: [], weight: 1 + weight % 900, services: ['*'] })
      view.update(tree)
    }
  })
  return cpuMs / CHANGES
}

function createChangeResults (changes: number): SettingsTree {
  const tree = new SettingsTree()
  for (let count = 0; count < changes; count++) applyChange(tree, '/teams/team-0/drains/runner-0', { reason: '' })
  return tree
}

function createLedger (entries: number): ZoneSchedulerClient {
  const gate = new FleetAdmissionGate({ view: new SettingsView(), isTargetOpen: () => true })
  const client = new ZoneSchedulerClient({ gate, sendBatch: () => true, sendReport: () => true })
  client.mergeLedger(Array.from({ length: entries }, (_, index) => ({ service: `model-${index % 7}`, account: `account-${index}`, zone: 'zone-0', total: index * 1_000, lift: index })))
  return client
}
