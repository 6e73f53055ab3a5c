import { RouteDocument } from '../../contract/RouteDocument'
import { RouteTable } from '.'

const createRoute = (name: string, pathPrefix: string, host = 'a.example') => ({ name, host, pathPrefix, kind: 'idempotent', timeoutMs: 1000, split: [{ service: 's', weight: 1 }] })
const table = new RouteTable(RouteDocument.parse({
  version: 1,
  routes: [createRoute('short', '/a/'), createRoute('long', '/a/b/'), createRoute('word', '/a/bo'), createRoute('other', '/', 'b.example')],
  services: [{ name: 's' }],
  accounts: [{ name: 'team', keys: ['k1', 'k2'] }]
}))

describe('RouteTable', () => {
  // Guards against requests that are sent to the service of another route.
  it.each([
    ['a.example', '/a/x', 'short'],
    ['a.example', '/a/b/x', 'long'],
    ['a.example', '/a/bo', 'word'],
    ['a.example', '/a/book/x', 'word'],
    ['a.example', '/a/b/c/d?x=/a/', 'long'],
    ['b.example', '', undefined],
    ['A.Example:8080', '/a/b/', 'long'],
    ['a.example', '/a?b/', undefined],
    ['a.example', '/c/', undefined],
    ['b.example', '/anything', 'other'],
    ['c.example', '/a/', undefined]
  ])('finds the route of %s %s', (host, path, name) => {
    expect(table.findRoute(host, path)?.name).toBe(name)
  })

  it('finds an account by any of its keys', () => {
    expect([table.findAccount('k1'), table.findAccount('k2'), table.findAccount('k3')]).toEqual(['team', 'team', undefined])
  })
})
