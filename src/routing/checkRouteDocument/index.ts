import type { RouteDocument } from '../../contract/RouteDocument'

/**
 * @name checkRouteDocument
 * @category Routing
 * @summary Lists the inconsistencies of a route document that its schema does not check.
 *
 * @param document - A document that the schema accepts.
 * @returns One short sentence for each problem; empty if the document is valid.
 *
 * @example
 * checkRouteDocument(document) // ['Route r1 refers to unknown service s9.']
 */
export function checkRouteDocument (document: RouteDocument): string[] {
  const services = new Set(document.services.map(({ name }) => name))
  return [
    ...document.routes.flatMap(({ name, split }) => split.filter(({ service }) => !services.has(service)).map(({ service }) => `Route ${name} refers to unknown service ${service}.`)),
    ...document.routes.filter(({ split }) => split.every(({ weight }) => weight === 0)).map(({ name }) => `The weights of route ${name} add up to 0; at least one must be positive.`),
    ...findDuplicates(document.routes.map(({ host, pathPrefix }) => `${host.toLowerCase()} ${pathPrefix}`)).map(place => `More than one route has the host and path prefix ${place}.`),
    ...findDuplicates(document.accounts.flatMap(({ keys }) => [...new Set(keys)])).map(() => 'More than one client account has the same key.')
  ]
}

/** Returns each value that occurred before, in time proportional to the number of values. */
function findDuplicates (values: readonly string[]): string[] {
  const seen = new Set<string>()
  return values.filter(value => {
    const isDuplicate = seen.has(value)
    seen.add(value)
    return isDuplicate
  })
}
