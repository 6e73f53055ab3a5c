import { RenewLeaseReply } from '../../../contract/RenewLeaseReply'
import type { RenewLeaseRequest } from '../../../contract/RenewLeaseRequest'
import { IdempotencyClient } from '../../../idempotency/IdempotencyClient'
import { SessionRenewer } from '../../../idempotency/SessionRenewer'
import type { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import type { LinkClient } from '../../../link/LinkClient'
import { LogClient } from '../../../log/LogClient'
import { requestLeader } from '../requestLeader'
import { SESSION_LEASE_MS } from '../SESSION_LEASE_MS'

interface StartIdempotencyOptions {
  incarnation: string
  control: readonly LinkClient[]
  lifecycle: LifecycleManager
  /** Targets that are closed for new work, with the requests that still run there. */
  listClosed: () => RenewLeaseRequest['closed']
}

const RENEW_EVERY_MS = 1_000
const WAIT_MARGIN_MS = 1_000

/** Starts the router's session with the control leader and returns the client of the idempotency records. */
export function startIdempotency ({ incarnation, control, lifecycle, listClosed }: StartIdempotencyOptions): IdempotencyClient {
  const log = new LogClient(control)
  let leader = 0
  const renew = async (session: string, timeoutMs: number): Promise<RenewLeaseReply> => {
    const body: RenewLeaseRequest = { session, closed: listClosed() }
    const order = [...control.slice(leader), ...control.slice(0, leader)]
    for (const replica of order) {
      const reply = await replica.request('renewLease', body, { timeoutMs: timeoutMs / 2 }).catch(() => undefined)
      if (!reply) continue
      leader = control.indexOf(replica)
      return RenewLeaseReply.parse(reply)
    }
    throw new Error('No control replica renewed the lease.')
  }
  const sessions = new SessionRenewer({ incarnation, leaseMs: SESSION_LEASE_MS, renewEveryMs: RENEW_EVERY_MS, renew })
  sessions.start()
  lifecycle.register('session', () => sessions.stop())
  return new IdempotencyClient({
    propose: (command, options) => log.propose('idempotency', command, options),
    waitForRecord: async (id, waitMs) => {
      await requestLeader(control, { type: 'waitForRecord', body: { id, waitMs } }, 2 * (waitMs + WAIT_MARGIN_MS))
    }
  }, sessions)
}
