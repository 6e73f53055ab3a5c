import type { Route } from '../../contract/Route'
import type { RouteDocument } from '../../contract/RouteDocument'

/**
 * @name RouteTable
 * @category Routing
 * @summary Looks up the route of a request, the client account of a key and the settings of a service.
 *
 * @description
 * Of the routes of the host, the one with the longest matching path prefix applies. The query string is ignored.
 *
 * @param document - The route document in force.
 *
 * @example
 * const table = new RouteTable(document)
 * table.findRoute('a.example', '/a/b?c=1')?.name
 */
export class RouteTable {
  readonly document: RouteDocument
  readonly #routesByHost = new Map<string, Route[]>()
  readonly #accountsByKey = new Map<string, string>()
  readonly #services = new Map<string, RouteDocument['services'][number]>()

  constructor (document: RouteDocument) {
    this.document = document
    for (const route of document.routes) this.#addRoute(route)
    for (const routes of this.#routesByHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    for (const { name, keys } of document.accounts) {
      for (const key of keys) this.#accountsByKey.set(key, name)
    }
    for (const service of document.services) this.#services.set(service.name, service)
  }

  findRoute (host: string, url: string): Route | undefined {
    const routes = this.#routesByHost.get(parseHost(host))
    const path = url.split('?', 1)[0]
    return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
  }

  findAccount (key: string): string | undefined {
    return this.#accountsByKey.get(key)
  }

  findService (name: string): RouteDocument['services'][number] | undefined {
    return this.#services.get(name)
  }

  #addRoute (route: Route): void {
    const host = parseHost(route.host)
    const routes = this.#routesByHost.get(host)
    if (routes) routes.push(route)
    else this.#routesByHost.set(host, [route])
  }
}

/** Host names are compared without regard to case and port. */
function parseHost (host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}
