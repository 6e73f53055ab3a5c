import { SettingsTree } from '.'
import type { SettingsChange } from '../../contract/SettingsChange'

const account = { keyHashes: [], services: ['*'] }

function createChange (changeId: string, expectedRevision: number | undefined, path: string, value: object | null): SettingsChange {
  const subtree = path.split('/').slice(0, 3).join('/')
  return { changeId, subtree, expectedRevision, operations: [{ path, value: value as never }], operator: 'ann', atMs: 0 }
}

describe('SettingsTree', () => {
  it('accepts exactly one of two changes with the same expected revision and returns the accepted value to the other operator', () => {
    const tree = new SettingsTree()
    expect(tree.apply(createChange('a', 0, '/teams/s/accounts/q', account), 1)).toEqual({ status: 'accepted', revision: 1, offset: 1 })
    const rejected = tree.apply(createChange('b', 0, '/teams/s/accounts/q', { ...account, weight: 9 }), 2)
    expect(rejected).toEqual({ status: 'conflict', revision: 1, values: { '/teams/s/accounts/q': account } })
  })

  it('returns the first result for a resent change, also after a snapshot, so that a lost reply does not cause a second application', () => {
    const tree = new SettingsTree()
    const change = createChange('a', undefined, '/teams/s/accounts/q', account)
    const first = tree.apply(change, 1)
    tree.apply(createChange('b', undefined, '/teams/s/accounts/q', { ...account, weight: 2 }), 2)
    const copy = new SettingsTree()
    copy.install(JSON.parse(JSON.stringify(tree.getState())))
    expect(copy.apply(change, 3)).toEqual(first)
    expect(copy.get('/teams/s/accounts/q')).toMatchObject({ weight: 2 })
  })

  it('keeps revisions of team subtrees independent, so that changes of different teams do not conflict', () => {
    const tree = new SettingsTree()
    tree.apply(createChange('a', 0, '/teams/s/accounts/q', account), 1)
    expect(tree.apply(createChange('b', 0, '/teams/t/accounts/r', account), 2)).toMatchObject({ status: 'accepted', revision: 1 })
  })

  it.each([
    ['an unknown path', '/teams/s/other/q', {}],
    ['an unknown key', '/teams/s/accounts/q', { ...account, colour: 1 }],
    ['a name that another team uses', '/teams/s/accounts/taken', account],
    ['a wrong type', '/teams/s/accounts/q', { ...account, weight: 'x' }]
  ])('refuses %s and leaves the revision as it is', (_case, path, value) => {
    const tree = new SettingsTree()
    tree.apply(createChange('a', 0, '/teams/t/accounts/taken', account), 1)
    expect(tree.apply(createChange('b', 0, path, value), 2)).toMatchObject({ status: 'invalid', path })
    expect(tree.getRevision('/teams/s')).toBe(0)
  })

  it('never installs a snapshot that is older than its state', () => {
    const tree = new SettingsTree()
    const old = tree.getState()
    tree.apply(createChange('a', 0, '/teams/s/accounts/q', account), 5)
    tree.install(old)
    expect(tree.offset).toBe(5)
    expect(tree.get('/teams/s/accounts/q')).toEqual(account)
  })

  it('evicts the same results on a replica that started from a snapshot, whatever the change ids look like', () => {
    const [tree, copy] = [new SettingsTree(), new SettingsTree()]
    const apply = (target: SettingsTree, offset: number) => target.apply(createChange(String(30_000 - offset), undefined, '/teams/s/accounts/q', account), offset)
    for (let offset = 1; offset <= 20_000; offset++) apply(tree, offset)
    copy.install(JSON.parse(JSON.stringify(tree.getState())))
    for (const replica of [tree, copy]) apply(replica, 20_001)
    expect(copy.getState().results).toEqual(tree.getState().results)
    expect(tree.getState().results).toHaveLength(20_000)
  })
})
