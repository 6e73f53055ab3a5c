import type { ObserverTable } from '../../../configuration/ObserverTable'
import type { FetchLogReply } from '../../../contract/FetchLogReply'
import { FetchLogRequest } from '../../../contract/FetchLogRequest'
import { ReportOffsets } from '../../../contract/ReportOffsets'
import type { Link } from '../../../link/Link'
import type { MessageHandler } from '../../../link/MessageHandler'

/**
 * Handlers for the messages of observers, `fetchLog` and `reportOffsets`, and for `listObservers`, which returns the live
 * observers.
 *
 * @param observers - Updated with each report.
 * @param fetch - Reads the log.
 * @param onReport - Called after each report.
 */
export function createObserverHandlers (observers: ObserverTable, fetch: (request: FetchLogRequest) => Promise<FetchLogReply>, onReport: () => void = () => {}): Map<string, MessageHandler> {
  const handleFetch = (body: unknown, link: Link): Promise<FetchLogReply> => {
    const request = FetchLogRequest.parse(body)
    const { instance, incarnation, zone, role } = link.peer
    if (role === 'router') observers.record({ instance, incarnation, zone, offset: request.offset, ageMs: 0 }, performance.now())
    onReport()
    return fetch(request)
  }
  const handleReports = (body: unknown): void => {
    const nowMs = performance.now()
    for (const report of ReportOffsets.parse(body).reports) observers.record(report, nowMs)
    onReport()
  }
  return new Map<string, MessageHandler>([
    ['fetchLog', handleFetch],
    ['reportOffsets', handleReports],
    ['listObservers', () => observers.listLive(performance.now())]
  ])
}
