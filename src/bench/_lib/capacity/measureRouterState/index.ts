import { SettingsTree } from '../../../../configuration/SettingsTree'
import { SettingsView } from '../../../../configuration/SettingsView'
import { resolveSubtree } from '../../../../configuration/resolveSubtree'
import { ZoneSchedulerClient } from '../../../../instance/_lib/ZoneSchedulerClient'
import { FleetAdmissionGate } from '../../../../schedule/FleetAdmissionGate'
import { createFleetSettings } from '../../createFleetSettings'
import { measureCpuMs } from '../../measureCpuMs'
import { measureHeap } from '../../measureHeap'
import type { Slope } from '../../Slope'

const ACCOUNTS = [1_000, 4_000, 7_000, 10_000, 13_000]
const TARGETS = [200, 800, 1_400, 2_000, 2_600]
const RESULTS = [2_000, 4_000, 8_000, 16_000]
const LEDGER_ENTRIES = [3_000, 6_000, 13_000, 26_000]
const CHANGES = 50
const SMALL = { accounts: 16, targets: 13, services: 7, zones: 16 }
const CHANGES_PER_DAY = 7_000
const DAYS_IN_TWO_YEARS = 730

/** Memory of the settings copy and the ledger copy, and the time that a change takes, in any router. */
export async function measureRouterState (): Promise<Slope[]> {
  const measureHeapBy = (size: Partial<typeof SMALL>): number => measureHeap(() => createState({ ...SMALL, ...size }))
  const measureCpuBy = (size: Partial<typeof SMALL>): Promise<number> => measureChange(createState({ ...SMALL, ...size }))
  return [
    { role: 'router', quantity: 'heap of the settings copy', unit: 'bytes', per: 'accounts', points: ACCOUNTS.map(accounts => [accounts, measureHeapBy({ accounts })]), atSize: 13_000 },
    { role: 'router', quantity: 'heap of the settings copy', unit: 'bytes', per: 'runners', points: TARGETS.map(targets => [targets, measureHeapBy({ targets })]), atSize: 2_600 },
    { role: 'router', quantity: 'CPU of one settings change', unit: 'ms', per: 'accounts', points: await measureEach(ACCOUNTS, accounts => measureCpuBy({ accounts })), atSize: 13_000 },
    { role: 'router', quantity: 'CPU of one settings change', unit: 'ms', per: 'runners', points: await measureEach(TARGETS, targets => measureCpuBy({ targets })), atSize: 2_600 },
    { role: 'router', quantity: 'heap of the results of changes', unit: 'bytes', per: 'changes since the start of the log', points: RESULTS.map(changes => [changes, measureHeap(() => createResults(changes))]), atSize: CHANGES_PER_DAY * DAYS_IN_TWO_YEARS },
    { role: 'router', quantity: 'heap of the ledger copy', unit: 'bytes', per: '(account, service) pairs of the availability zone', points: LEDGER_ENTRIES.map(entries => [entries, measureHeap(() => createLedger(entries))]), atSize: 13_000 }
  ]
}

async function measureEach (sizes: number[], measure: (size: number) => Promise<number>): Promise<Array<[number, number]>> {
  const points: Array<[number, number]> = []
  for (const size of sizes) points.push([size, await measure(size)])
  return points
}

interface State {
  tree: SettingsTree
  view: SettingsView
}

function createState (size: typeof SMALL): State {
  const tree = new SettingsTree()
  const view = new SettingsView()
  // One change for each path, as operators create them over time.
  for (const [path, value] of createFleetSettings(size)) applyChange(tree, path, value)
  view.update(tree)
  return { tree, view }
}

function applyChange (tree: SettingsTree, path: string, value: object): void {
  const offset = tree.offset + 1
  tree.apply({ changeId: `change-${offset}`, subtree: resolveSubtree(path), operations: [{ path, value }], operator: 'operator', atMs: 0 }, offset)
}

/** Changes one account at a time, as a router applies it. */
async function measureChange ({ tree, view }: State): Promise<number> {
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

function createResults (changes: number): SettingsTree {
  const tree = new SettingsTree()
  for (let count = 0; count < changes; count++) applyChange(tree, '/teams/team-0/drains/runner-0', { reason: '' })
  return tree
}

function createLedger (entries: number): ZoneSchedulerClient {
  const gate = new FleetAdmissionGate({ view: new SettingsView(), isTargetOpen: () => true })
  const agent = new ZoneSchedulerClient({ gate, sendBatch: () => true, sendReport: () => true })
  agent.mergeLedger(Array.from({ length: entries }, (_, index) => ({ service: `model-${index % 7}`, account: `account-${index}`, zone: 'zone-0', total: index * 1_000, lift: index })))
  return agent
}
