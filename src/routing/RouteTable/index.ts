import type { Route } from '../../contract/Route'
import type { RouteDocument } from '../../contract/RouteDocument'

interface HostRoutes {
  /** Routes by path prefix, for the prefixes that end with a slash. */
  byPrefix: Map<string, Route>
  /** All other routes. */
  others: Route[]
}

/**
 * @name RouteTable
 * @category Routing
 * @summary Looks up the route of a request, the client account of a key and the settings of a service.
 *
 * @description
 * Of the routes of the host, the one with the longest matching path prefix applies. The query string is ignored. The time
 * of a look-up does not grow with the number of routes.
 *
 * @param document - The route document in force.
 *
 * @example
 * const table = new RouteTable(document)
 * table.findRoute('a.example', '/a/b?c=1')?.name
 */
export class RouteTable {
  readonly document: RouteDocument
  readonly #routesByHost = new Map<string, HostRoutes>()
  readonly #accountsByKey = new Map<string, string>()
  readonly #services = new Map<string, RouteDocument['services'][number]>()
  /** The newest host header and its routes: most requests of a router have the same one. */
  #newest: { host: string, routes: HostRoutes | undefined } = { host: '', routes: undefined }

  constructor (document: RouteDocument) {
    this.document = document
    for (const route of document.routes) this.#addRoute(route)
    for (const { name, keys } of document.accounts) {
      for (const key of keys) this.#accountsByKey.set(key, name)
    }
    for (const service of document.services) this.#services.set(service.name, service)
  }

  findRoute (host: string, url: string): Route | undefined {
    if (host !== this.#newest.host) this.#newest = { host, routes: this.#routesByHost.get(parseHost(host)) }
    const { routes } = this.#newest
    if (!routes) return undefined
    const path = url.split('?', 1)[0]
    let found = findByPrefix(routes.byPrefix, path)
    for (const route of routes.others) {
      if (path.startsWith(route.pathPrefix) && route.pathPrefix.length > (found?.pathPrefix.length ?? -1)) found = route
    }
    return found
  }

  findAccount (key: string): string | undefined {
    return this.#accountsByKey.get(key)
  }

  findService (name: string): RouteDocument['services'][number] | undefined {
    return this.#services.get(name)
  }

  #addRoute (route: Route): void {
    const host = parseHost(route.host)
    const routes = this.#routesByHost.get(host) ?? { byPrefix: new Map<string, Route>(), others: [] }
    this.#routesByHost.set(host, routes)
    if (!route.pathPrefix.endsWith('/')) routes.others.push(route)
    else if (!routes.byPrefix.has(route.pathPrefix)) routes.byPrefix.set(route.pathPrefix, route)
  }
}

/** Tries the path up to each of its slashes, the longest first. */
function findByPrefix (byPrefix: ReadonlyMap<string, Route>, path: string): Route | undefined {
  let end = path.lastIndexOf('/')
  while (end > 0) {
    const route = byPrefix.get(path.slice(0, end + 1))
    if (route) return route
    end = path.lastIndexOf('/', end - 1)
  }
  return end === 0 ? byPrefix.get('/') : undefined
}

/** Host names are compared without regard to case and port. */
function parseHost (host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}
