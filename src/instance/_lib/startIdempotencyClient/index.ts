import { RenewLeaseReply } from '../../../contract/RenewLeaseReply'
import type { RenewLeaseRequest } from '../../../contract/RenewLeaseRequest'
import { IdempotencyClient } from '../../../idempotency/IdempotencyClient'
import { SessionRenewer } from '../../../idempotency/SessionRenewer'
import type { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import type { LinkClient } from '../../../link/LinkClient'
import { LogClient } from '../../../log/LogClient'
import { requestAnyReplica } from '../requestAnyReplica'
import { SESSION_LEASE_MS } from '../SESSION_LEASE_MS'

interface StartIdempotencyClientOptions {
  incarnation: string
  control: readonly LinkClient[]
  lifecycle: LifecycleManager
  /** Targets that get no new work from this router, with the number of requests that still run there. */
  listDrainingTargets: () => RenewLeaseRequest['closed']
}

const RENEW_INTERVAL_MS = 1_000
const WAIT_MARGIN_MS = 1_000

/** Starts the router's session with the control leader and returns the client for idempotency records. */
export function startIdempotencyClient ({ incarnation, control, lifecycle, listDrainingTargets }: StartIdempotencyClientOptions): IdempotencyClient {
  const log = new LogClient(control)
  let leaderIndex = 0
  const renew = async (session: string, timeoutMs: number): Promise<RenewLeaseReply> => {
    const body: RenewLeaseRequest = { session, closed: listDrainingTargets() }
    const order = [...control.slice(leaderIndex), ...control.slice(0, leaderIndex)]
    for (const replica of order) {
      const reply = await replica.request('renewLease', body, { timeoutMs: timeoutMs / 2 }).catch(() => undefined)
      if (!reply) continue
      leaderIndex = control.indexOf(replica)
      return RenewLeaseReply.parse(reply)
    }
    throw new Error('No control replica renewed the lease.')
  }
  const sessions = new SessionRenewer({ incarnation, leaseMs: SESSION_LEASE_MS, renewEveryMs: RENEW_INTERVAL_MS, renew })
  sessions.start()
  lifecycle.register('session', () => sessions.stop())
  return new IdempotencyClient({
    propose: (command, options) => log.propose('idempotency', command, options),
    waitForRecord: async (id, waitMs) => {
      await requestAnyReplica(control, { type: 'waitForRecord', body: { id, waitMs } }, 2 * (waitMs + WAIT_MARGIN_MS))
    }
  }, sessions)
}
