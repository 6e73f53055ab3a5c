import { FleetStatusTable } from '.'
import { SettingsTree } from '../../configuration/SettingsTree'
import type { RouterStatus } from '../../contract/RouterStatus'

const peer = (incarnation: string) => ({ instance: 'r1', incarnation, zone: 'z', role: 'router' as const })
const base = { offset: 1, isReady: true, waiting: 0 }

function createTree (): SettingsTree {
  const tree = new SettingsTree()
  const operations = ['e1', 'e2'].map(name => ({ path: `/teams/t/targets/${name}`, value: { service: 'llama', zone: 'z', url: 'http://127.0.0.1:1', slots: 1 } }))
  tree.apply({ changeId: 'c', subtree: '/teams/t', operations, operator: 'o', atMs: 0 }, 1)
  return tree
}

const full: RouterStatus = { ...base, running: [['e1', 2], ['e2', 3]], draining: [], accounts: [['a', 1, 5]] }

describe('FleetStatusTable', () => {
  it.each<[string, RouterStatus, string, Array<[string, number, string]>]>([
    ['keeps details that a brief report leaves out', { ...base, running: [], draining: [] }, 'a', [['e1', 2, 'in-service'], ['e2', 3, 'in-service']]],
    ['takes the count of a draining target from a brief report, also when it is zero', { ...base, running: [], draining: ['e1'] }, 'a', [['e1', 0, 'drained'], ['e2', 3, 'in-service']]],
    ['does not report a target as drained while requests run there', { ...base, running: [['e1', 1]], draining: ['e1'] }, 'a', [['e1', 1, 'draining'], ['e2', 3, 'in-service']]],
    ['drops the details of an earlier incarnation', { ...base, running: [], draining: [] }, 'b', [['e1', 0, 'in-service'], ['e2', 0, 'in-service']]]
  ])('%s', (_case, brief, incarnation, expected) => {
    const table = new FleetStatusTable(0)
    table.record(peer('a'), full, 10_000)
    table.record(peer(incarnation), brief, 12_000)
    expect(table.listTargets(createTree(), 12_000).map(({ target, running, state }) => [target, running, state])).toEqual(expected)
  })
})
