import { RouteDocument } from '../../contract/RouteDocument'
import { checkRouteDocument } from '.'

const route = { name: 'r', host: 'a.example', pathPrefix: '/a/', kind: 'idempotent', timeoutMs: 1000, split: [{ service: 's', weight: 1 }] }
const check = (changes: object) => checkRouteDocument(RouteDocument.parse({ version: 1, routes: [route], services: [{ name: 's' }], accounts: [], ...changes }))

describe('checkRouteDocument', () => {
  it.each([
    ['a valid document', {}, 0],
    ['an unknown service', { services: [] }, 1],
    ['weights that add up to 0', { routes: [{ ...route, split: [{ service: 's', weight: 0 }] }] }, 1],
    ['two routes with the same host and path prefix', { routes: [route, { ...route, name: 'q' }] }, 1],
    ['a key that two accounts share', { accounts: [{ name: 'x', keys: ['k'] }, { name: 'y', keys: ['k'] }] }, 1],
    ['a key that one account lists twice', { accounts: [{ name: 'x', keys: ['k', 'k'] }] }, 0]
  ])('counts the problems of %s', (_title, changes, problems) => {
    expect(check(changes)).toHaveLength(problems)
  })

  // Guards against a check whose time grows with the square of the number of routes: it blocked the event loop of every
  // router and replica for each change of a large document. With that check, this number of routes takes minutes.
  it('checks a document with very many routes', () => {
    const routes = Array.from({ length: 100_000 }, (_, i) => ({ ...route, pathPrefix: `/${i}/`, priority: 1, maxAttempts: 1, isOpen: false, isResumable: false }))
    const document = RouteDocument.parse({ version: 1, routes: [], services: [{ name: 's' }], accounts: [] })
    expect(checkRouteDocument({ ...document, routes: [...routes, routes[7]] as typeof document.routes })).toHaveLength(1)
  })
})
