import { PlatformInstance } from '../../contract/PlatformInstance'
import type { ListenAddress } from '../../contract/ListenAddress'
import { parseJsonBody } from '../../instance/parseJsonBody'
import { readBody } from '../../instance/readBody'
import { startHttpServer } from '../../instance/startHttpServer'
import { createCloseFunction } from '../_lib/createCloseFunction'
import { sendJson } from '../_lib/sendJson'
import { LaggingValue } from '../LaggingValue'
import type { PlatformSettings } from '../PlatformSettings'

const MAX_BODY_BYTES = 4 * 1024 * 1024

interface RunningPlatform {
  address: ListenAddress
  close: () => Promise<void>
}

/**
 * @name startPlatform
 * @category Stand-in
 * @summary Starts a stand-in for the platform's membership list.
 *
 * @description
 * `GET /instances` returns the list as it was `lagMs` ago, with live and leaving instances. `PUT /instances` replaces
 * the list.
 *
 * @param address - Address to listen on.
 * @param settings - Initial list and its lag.
 * @returns The bound address and a function that stops the server.
 *
 * @example
 * const platform = await startPlatform({ host: '127.0.0.1', port: 0 }, PlatformSettings.parse({}))
 */
export async function startPlatform (address: ListenAddress, settings: PlatformSettings): Promise<RunningPlatform> {
  const instances = new LaggingValue(settings.instances)
  const { address: bound, server } = await startHttpServer(address, [
    { method: 'get', path: '/health', handler: (_request, response) => sendJson(response, { status: 'ok' }) },
    { method: 'get', path: '/instances', handler: (_request, response) => sendJson(response, { instances: instances.get(performance.now(), settings.lagMs) }) },
    {
      method: 'put',
      path: '/instances',
      handler: async (request, response) => {
        const list = PlatformInstance.array().parse(parseJsonBody(await readBody(request, { maxBytes: MAX_BODY_BYTES })))
        instances.set(list, performance.now())
        sendJson(response, { instances: list })
      }
    }
  ])
  return { address: bound, close: createCloseFunction(server) }
}
