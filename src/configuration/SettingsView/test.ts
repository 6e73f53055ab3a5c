import { SettingsView } from '.'
import { SettingsTree } from '../SettingsTree'

const target = (service: string) => ({ service, zone: 'z', url: 'http://127.0.0.1:1', slots: 1 })
const account = (keyHash: string) => ({ keyHashes: [keyHash], services: ['*'] })
const KEYS = ['a', 'b'].map(letter => letter.repeat(64))

function createFixture () {
  const tree = new SettingsTree()
  const view = new SettingsView()
  const set = (path: string, value: object | null): void => {
    const offset = tree.offset + 1
    const result = tree.apply({ changeId: String(offset), subtree: '/teams/t', operations: [{ path: `/teams/t/${path}`, value }], operator: 'o', atMs: 0 }, offset)
    expect(result.status).toBe('accepted')
    view.update(tree)
  }
  return { tree, view, set }
}

describe('SettingsView', () => {
  it('replaces a changed key, so that a revoked key no longer authenticates', () => {
    const { view, set } = createFixture()
    set('accounts/q', account(KEYS[0]))
    set('accounts/q', account(KEYS[1]))
    expect(view.findAccountByKeyHash(KEYS[0])).toBeUndefined()
    expect(view.findAccountByKeyHash(KEYS[1])?.name).toBe('q')
    set('accounts/q', null)
    expect(view.findAccountByKeyHash(KEYS[1])).toBeUndefined()
  })

  it('keeps a key that moved to another account, whatever the order of the changes', () => {
    const { view, set } = createFixture()
    set('accounts/q', account(KEYS[0]))
    set('accounts/r', account(KEYS[0]))
    set('accounts/q', null)
    expect(view.findAccountByKeyHash(KEYS[0])?.name).toBe('r')
  })

  it('moves a target between services and removes it, so that no requests go to a removed target', () => {
    const { view, set } = createFixture()
    set('targets/e1', target('llama'))
    set('targets/e2', target('llama'))
    set('targets/e1', target('other'))
    expect(view.listTargets('llama').map(({ name }) => name)).toEqual(['e2'])
    expect(view.listTargets('other').map(({ name }) => name)).toEqual(['e1'])
    set('targets/e2', null)
    expect(view.listTargets('llama')).toEqual([])
  })

  it('builds the same view from a snapshot as from the individual changes', () => {
    const { tree, view, set } = createFixture()
    set('targets/e1', target('llama'))
    set('drains/e1', { reason: '' })
    set('accounts/q', account(KEYS[0]))
    const copy = new SettingsTree()
    copy.install(JSON.parse(JSON.stringify(tree.getState())))
    const restored = new SettingsView()
    restored.update(copy)
    expect(restored.listAllTargets()).toEqual(view.listAllTargets())
    expect(restored.isDrainedByOperator('e1')).toBe(true)
    expect(restored.listAccounts()).toEqual(view.listAccounts())
  })
})
