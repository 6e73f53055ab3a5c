import { ProposeRequest } from '../../../contract/ProposeRequest'
import type { IdempotencyTable } from '../../../idempotency/IdempotencyTable'
import type { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import type { MessageHandler } from '../../../link/MessageHandler'
import type { ControlLogs } from '../ControlLogs'
import { IdempotencyGroup } from '../IdempotencyGroup'

interface StartIdempotencyGroupOptions {
  table: IdempotencyTable
  logs: ControlLogs
  lifecycle: LifecycleManager
}

/**
 * Starts the idempotency group of a control process. Returns the handlers of the logs and of the group; proposals to the
 * idempotency log pass through the group.
 */
export function startIdempotencyGroup ({ table, logs, lifecycle }: StartIdempotencyGroupOptions): Map<string, MessageHandler> {
  const group = new IdempotencyGroup(table, () => logs.getLog('idempotency'))
  const { handlers } = logs
  const propose = handlers.get('propose')!
  group.start()
  lifecycle.register('idempotency group', () => group.stop())
  const wrapPropose: MessageHandler = (body, link) => {
    const request = ProposeRequest.parse(body)
    return request.group === 'idempotency' ? group.propose(request.command) : propose(body, link)
  }
  return new Map([...handlers, ...group.handlers, ['propose', wrapPropose]])
}
