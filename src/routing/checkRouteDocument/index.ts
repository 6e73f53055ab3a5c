import type { RouteDocument } from '../../contract/RouteDocument'

/**
 * @name checkRouteDocument
 * @category Routing
 * @summary Lists what makes a route document invalid beyond the form of its fields.
 *
 * @param document - A document of the right form.
 * @returns One short sentence for each problem; empty if the document is valid.
 *
 * @example
 * checkRouteDocument(document) // ['Route r1 names the unknown service s9.']
 */
export function checkRouteDocument (document: RouteDocument): string[] {
  const services = new Set(document.services.map(({ name }) => name))
  return [
    ...document.routes.flatMap(({ name, split }) => split.filter(({ service }) => !services.has(service)).map(({ service }) => `Route ${name} names the unknown service ${service}.`)),
    ...document.routes.filter(({ split }) => split.every(({ weight }) => weight === 0)).map(({ name }) => `The weights of route ${name} add up to 0.`),
    ...findRepeated(document.routes.map(({ host, pathPrefix }) => `${host.toLowerCase()} ${pathPrefix}`)).map(place => `Two routes share ${place}.`),
    ...findRepeated(document.accounts.flatMap(({ keys }) => [...new Set(keys)])).map(() => 'Two client accounts share a key.')
  ]
}

function findRepeated (values: readonly string[]): string[] {
  return values.filter((value, index) => values.indexOf(value) < index)
}
