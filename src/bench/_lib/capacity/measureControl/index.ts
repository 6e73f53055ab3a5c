import { encode } from 'cbor-x'
import { startFleet } from '../../../../../test/_lib/startFleet'
import { ObserverTable } from '../../../../configuration/ObserverTable'
import { SettingsTree } from '../../../../configuration/SettingsTree'
import { IdempotencyTable } from '../../../../idempotency/IdempotencyTable'
import { resolveSubtree } from '../../../../configuration/resolveSubtree'
import { createFleetSettings } from '../../createFleetSettings'
import { measureCpuMs } from '../../measureCpuMs'
import { measureHeap } from '../../measureHeap'
import { readProcessUsage } from '../../readProcessUsage'
import type { ScalingSeries } from '../../ScalingSeries'

const ACCOUNTS = [1_000, 4_000, 7_000, 10_000, 13_000]
const CHANGES = [100, 200, 400, 800]
const ROUTERS = [40, 80, 160, 320]
const RECORDS = [5_000, 10_000, 20_000, 40_000]
const REPEATS = 100
/**
 * Idempotency records at the size projected after two years: if 1 in 100 requests carries an idempotency key, keyed
 * calls arrive at 70/s, and their records are retained for 24 h.
 */
const PROJECTED_RECORDS = 70 * 86_400

/** Measures the cost of idempotency records, snapshots, commits and observer reports in a control replica. */
export async function measureControl (): Promise<ScalingSeries[]> {
  const sizes: Array<[number, number]> = []
  const times: Array<[number, number]> = []
  for (const accounts of ACCOUNTS) {
    const tree = createSettingsTree(accounts)
    sizes.push([accounts, encode(tree.getState()).length])
    times.push([accounts, await measureCpuMs(() => { encode(tree.getState()) })])
  }
  const commits = await measureCommits()
  const reports: Array<[number, number]> = []
  for (const routers of ROUTERS) reports.push([routers, await measureObserverReports(routers)])
  const recordTimes: Array<[number, number]> = []
  for (const records of RECORDS) {
    const table = createIdempotencyTable(records)
    recordTimes.push([records, await measureCpuMs(() => { encode(table.getState()) })])
  }
  return [
    { role: 'control replica', quantity: 'heap of the idempotency records', unit: 'bytes', variable: 'records (1% of the requests keyed)', points: RECORDS.map(records => [records, measureHeap(() => createIdempotencyTable(records))]), projectedSize: PROJECTED_RECORDS },
    { role: 'control replica', quantity: 'CPU of encoding a snapshot of the records', unit: 'ms', variable: 'records (1% of the requests keyed)', points: recordTimes, projectedSize: PROJECTED_RECORDS },
    { role: 'control replica', quantity: 'size of a snapshot', unit: 'bytes', variable: 'accounts', points: sizes, projectedSize: 13_000 },
    { role: 'control replica', quantity: 'CPU of encoding a snapshot', unit: 'ms', variable: 'accounts', points: times, projectedSize: 13_000 },
    { role: 'control replica', quantity: 'CPU of committed changes, busiest of 3 replicas', unit: 's', variable: 'changes', points: commits, projectedSize: 7_000 },
    { role: 'control replica', quantity: 'CPU of a pass over all observers', unit: 'µs', variable: 'routers', points: reports, projectedSize: 320 }
  ]
}

function createSettingsTree (accounts: number): SettingsTree {
  const tree = new SettingsTree()
  for (const [path, value] of createFleetSettings({ accounts, targets: 13, services: 7, zones: 16 })) {
    const offset = tree.offset + 1
    tree.apply({ changeId: `change-${offset}`, subtree: resolveSubtree(path), operations: [{ path, value }], operator: 'operator', atMs: 0 }, offset)
  }
  return tree
}

/** Creates records of completed bookings with a response of typical size. */
function createIdempotencyTable (records: number): IdempotencyTable {
  const table = new IdempotencyTable()
  const body = Buffer.from('{"id":123456,"bookingId":"20261204-0-123456"}')
  for (let index = 0; index < records; index++) {
    const head = { id: `account-${index % 13_000}/key-${index}`, attempt: `attempt-${index}`, atMs: 1_000 + index }
    table.apply({ type: 'claim', ...head, digest: `digest-${index}`.padEnd(64, '0'), session: `incarnation-${index % 320}/1` }, 2 * index + 1)
    const response = { kind: 'complete', status: 201, headers: { 'content-type': 'application/json' }, body: Buffer.from(body) }
    const result = table.apply({ type: 'complete', ...head, response }, 2 * index + 2)
    if (result.status !== 'done') throw new Error('The idempotency table did not store the response of a completed record.')
  }
  return table
}

async function measureCommits (): Promise<Array<[number, number]>> {
  const fleet = await startFleet({ zones: ['z1', 'z2', 'z3'], controls: 3, hasProxies: false, accounts: { a: {} } })
  try {
    const points: Array<[number, number]> = []
    for (const changes of [50, ...CHANGES]) {
      const before = fleet.controls.map(({ pid }) => readProcessUsage(pid).cpuS)
      for (let count = 0; count < changes; count++) {
        const response = await fetch(`${fleet.controls[0].url}/v1/changes`, {
          method: 'POST',
          headers: { authorization: `Bearer ${fleet.token}`, 'content-type': 'application/json' },
          body: JSON.stringify({ changeId: `${changes}-${count}`, subtree: '/teams/t', operations: [{ path: '/teams/t/accounts/a', value: { keyHashes: [], services: ['*'], weight: 1 + count } }], operator: 'bench', atMs: 0 })
        })
        if (!response.ok) throw new Error(`The control replica refused a settings change: ${await response.text()}`)
        await response.text()
      }
      const used = fleet.controls.map(({ pid }, index) => readProcessUsage(pid).cpuS - before[index])
      // The first round is a warm-up.
      if (changes !== 50) points.push([changes, Math.max(...used)])
    }
    return points
  } finally {
    await fleet.stop()
  }
}

async function measureObserverReports (routers: number): Promise<number> {
  const table = new ObserverTable({ liveMs: 60_000 })
  const reports = Array.from({ length: routers }, (_, index) => ({ instance: `router-${index}`, incarnation: `incarnation-${index}`, zone: `zone-${index % 16}`, offset: 100, ageMs: 0 }))
  const cpuMs = await measureCpuMs(() => {
    for (let count = 0; count < REPEATS; count++) {
      for (const report of reports) table.record(report, performance.now())
      table.listBehind(100, performance.now())
    }
  })
  return cpuMs * 1_000 / REPEATS
}
