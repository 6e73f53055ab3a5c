import type { ServerResponse } from 'node:http'
import type polka from 'polka'
import { AppError } from '../../contract/AppError'
import type { ComponentLogger } from '../../telemetry/ComponentLogger'
import type { startRegistry } from '../startRegistry'

type Registry = Pick<Awaited<ReturnType<typeof startRegistry>>, 'listSuspects' | 'releasePart'>

interface QuarantineRoute {
  method: 'get' | 'delete'
  path: string
  handler: (request: polka.Request, response: ServerResponse) => void
}

const MS_PER_S = 1_000

/**
 * @name createQuarantineRoutes
 * @category Instance
 * @summary Creates the HTTP routes with which operators list suspected prompt parts and release blocked ones.
 *
 * @description
 * - `GET /quarantine` lists the parts under which targets crashed: service, part, crashes, seconds for which requests
 *   with the part are still refused (0 if they are not), and targets.
 * - `DELETE /quarantine/<service>/<part>` releases a part, both URL-encoded.
 *
 * Errors: `not-leader` at a replica that does not lead, `not-found` for a part that is not suspected, `bad-request` for a
 * malformed path.
 *
 * @param registry - The registry replica of this process.
 * @param logger - Logs each release.
 * @returns Routes for startHttpServer.
 *
 * @example
 * await startHttpServer(settings.http, createQuarantineRoutes(registry, logger))
 */
export function createQuarantineRoutes (registry: Registry, logger: ComponentLogger): QuarantineRoute[] {
  return [
    {
      method: 'get',
      path: '/quarantine',
      handler: (_request, response) => sendJson(response, {
        suspects: registry.listSuspects().map(({ blockedMs, ...suspect }) => ({ ...suspect, blockedS: Math.ceil(blockedMs / MS_PER_S) }))
      })
    },
    {
      method: 'delete',
      path: '/quarantine/:service/:part',
      handler: ({ params }, response) => {
        const released = { service: decodeParameter(params.service), part: decodeParameter(params.part) }
        if (!registry.releasePart(released)) throw new AppError('not-found', 'The prompt part is not suspected.')
        logger.info('An operator released a prompt part.', released)
        sendJson(response, { released })
      }
    }
  ]
}

function decodeParameter (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch (cause) {
    throw new AppError('bad-request', 'The path is not URL-encoded.', { cause })
  }
}

function sendJson (response: ServerResponse, value: unknown): void {
  const body = JSON.stringify(value)
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }).end(body)
}
