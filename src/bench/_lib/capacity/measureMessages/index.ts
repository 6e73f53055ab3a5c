import { encodeFrame } from '../../../../link/encodeFrame'
import { FrameDecoder } from '../../../../link/FrameDecoder'
import { decodePeerMessage } from '../../../../schedule/decodePeerMessage'
import { encodeGrants } from '../../../../schedule/encodeGrants'
import { encodeHeartbeat } from '../../../../schedule/encodeHeartbeat'
import { encodePeerMessage } from '../../../../schedule/encodePeerMessage'
import { encodeRouterBatch } from '../../../../schedule/encodeRouterBatch'
import { NameDecoder } from '../../../../schedule/NameDecoder'
import { NameEncoder } from '../../../../schedule/NameEncoder'
import type { PeerMessage } from '../../../../schedule/PeerMessage'
import { ZoneScheduler } from '../../../../schedule/ZoneScheduler'
import { measureCpuMs } from '../../measureCpuMs'
import type { ScalingSeries } from '../../ScalingSeries'

const CHANGED = [25, 50, 100, 200, 400]
const REQUESTS = [100, 200, 400, 800]
const REPEATS = 50
/** Requests per second of one availability zone: 7,000 for the fleet, divided by 16 zones. */
const ZONE_REQUESTS_PER_S = 437.5
/** A request changes the state of its account at the grant and at the end. With many accounts, few changes coincide. */
const CHANGES_PER_REQUEST = 2
const EXCHANGE_INTERVAL_S = 0.2
const REPLICATION_INTERVAL_S = 4

/** Measures the size of the scheduling messages, and the CPU time of an exchange at both ends. */
export async function measureMessages (): Promise<ScalingSeries[]> {
  const changedPerExchange = Math.round(ZONE_REQUESTS_PER_S * CHANGES_PER_REQUEST * EXCHANGE_INTERVAL_S)
  const cpu: Array<[number, number]> = []
  for (const changed of CHANGED) cpu.push([changed, await measureExchangeCpu(changed)])
  return [
    { role: 'zone scheduler', quantity: 'bytes of an exchange to one peer', unit: 'bytes', variable: 'accounts that changed', points: CHANGED.map(changed => [changed, measureExchangeBytes(changed)]), projectedSize: changedPerExchange },
    { role: 'zone scheduler', quantity: 'CPU of an exchange (encode, decode, merge)', unit: 'µs', variable: 'accounts that changed', points: cpu, projectedSize: changedPerExchange },
    { role: 'zone scheduler', quantity: 'bytes of the ledger copy to one router', unit: 'bytes', variable: 'accounts that changed', points: CHANGED.map(changed => [changed, measureLedgerCopyBytes(changed)]), projectedSize: Math.round(ZONE_REQUESTS_PER_S * REPLICATION_INTERVAL_S) },
    { role: 'router', quantity: 'bytes to and from the scheduler, one request a message', unit: 'bytes', variable: 'requests', points: REQUESTS.map(requests => [requests, measureRequestBytes(requests)]), projectedSize: 22 }
  ]
}

function createMessage (changed: number, round: number): PeerMessage {
  const operations = Array.from({ length: changed }, (_, index) => ({
    type: 'account' as const, service: `model-${index % 7}`, account: `account-${index}`, total: 5_000_000 + index * 97 + round, outstanding: 250, waiting: index % 3, lift: 120_000
  }))
  return { term: 3, session: 1, echoedSession: 1, lastLendId: 1_000, operations }
}

/** Measures the size of a message whose names are already known to the decoder and sent as numbers. */
function measureExchangeBytes (changed: number): number {
  const names = new NameEncoder()
  encodePeerMessage(createMessage(changed, 0), names)
  return encodeFrame(['exchange', 0, encodePeerMessage(createMessage(changed, 1), names)]).length
}

async function measureExchangeCpu (changed: number): Promise<number> {
  const names = new NameEncoder()
  const decoder = new NameDecoder()
  const frames = new FrameDecoder()
  const scheduler = new ZoneScheduler({ zone: 'zone-0', term: 1, getWeight: () => 1, isTargetOpen: () => true })
  let round = 0
  const cpuMs = await measureCpuMs(() => {
    for (let count = 0; count < REPEATS; count++) {
      const frame = encodeFrame(['exchange', 0, encodePeerMessage(createMessage(changed, round++), names)])
      for (const message of frames.read(frame)) {
        const peerMessage = decodePeerMessage((message as unknown[])[2], decoder)
        for (const effect of scheduler.handlePeerMessage(round * 200, 'zone-1', 'router-1', peerMessage)) void effect
      }
    }
  })
  return cpuMs * 1_000 / REPEATS
}

function measureLedgerCopyBytes (changed: number): number {
  const names = new NameEncoder()
  const ledger = Array.from({ length: changed }, (_, index) => ({ service: `model-${index % 7}`, account: `account-${index}`, zone: 'zone-0', total: 5_000_000 + index, lift: 120_000 }))
  const encode = (): Buffer => encodeFrame(['zoneHeartbeat', 0, encodeHeartbeat({ term: 3, isLeaving: false, ledger }, names)])
  encode()
  return encode().length
}

/** Measures the bytes of three messages per request: the backlog, the release at its end, and the grant. */
function measureRequestBytes (requests: number): number {
  const [toScheduler, toRouter] = [new NameEncoder(), new NameEncoder()]
  let bytes = 0
  for (let id = 1; id <= requests + 50; id++) {
    const [account, service] = [`account-${id % 50}`, `model-${id % 7}`]
    const grant = { id: 10_000 + id, account, service, target: `runner-${id % 50}`, estimate: 250, expiresInMs: 1_000 }
    const frames = [
      ['queue', 0, encodeRouterBatch({ session: 1, lastGrantId: grant.id, operations: [{ type: 'backlog', account, service, waiting: 1, estimate: 250 }] }, toScheduler)],
      ['queue', 0, encodeRouterBatch({ session: 1, lastGrantId: grant.id, operations: [{ type: 'release', id: grant.id, cost: 243.5, isHealthy: true }] }, toScheduler)],
      ['grant', 0, encodeGrants(1, [grant], toRouter)]
    ]
    // The first 50 requests also define the names and are not counted.
    if (id > 50) bytes += frames.reduce((sum, frame) => sum + encodeFrame(frame).length, 0)
  }
  return bytes
}
