import type { IncomingMessage, ServerResponse } from 'node:http'
import { plainCodecs } from '../../../test/_lib/plainCodecs'
import { RouteDocument } from '../../contract/RouteDocument'
import { RouteTable } from '../../routing/RouteTable'
import { CallAdmission } from '../CallAdmission'
import { OverloadGate } from '.'

const route = { name: 'r', host: 'a.example', pathPrefix: '/r/', kind: 'stream', timeoutMs: 5_000, objectiveMs: 200, split: [{ service: 's', weight: 1 }] }
const table = new RouteTable(RouteDocument.parse({ version: 1, routes: [route], services: [{ name: 's' }], accounts: [{ name: 'team', keys: ['k1'] }] }))

function createGate ({ readMs, acceptMs = 0, isClosing = false }: { readMs: number, acceptMs?: number, isClosing?: boolean }) {
  const lines: Array<Record<string, unknown> | undefined> = []
  const log = (_message: string, fields?: Record<string, unknown>): void => { lines.push(fields) }
  const observed: object[] = []
  const gate = new OverloadGate({
    clock: { observe: () => ({ readMs, iterationMs: 1, busyMs: readMs }) },
    acceptClock: { takeDelay: () => acceptMs },
    admission: new CallAdmission(),
    loadLog: { add: call => { observed.push(call) } },
    codec: plainCodecs.calls,
    getTable: () => table,
    getRetryAfterS: () => 0.05,
    isClosing: () => isClosing,
    onRefused: () => {},
    logger: { error: log, warn: log, info: log, debug: log }
  })
  return { gate, lines, observed }
}

function sendRequest (gate: OverloadGate) {
  const sent: { status?: number, headers?: string[], body?: string } = {}
  const response = { writeHead: (status: number, headers: string[]) => Object.assign(sent, { status, headers }), end: (body: string) => { sent.body = body } }
  const request = { headers: { host: 'a.example', key: 'k1', 'call-id': '9c41' }, url: '/r/x' }
  const delay = gate.tryAdmit(request as unknown as IncomingMessage, response as unknown as ServerResponse)
  return { delay, ...sent }
}

describe('OverloadGate', () => {
  it('accepts a request that can be begun in time, and tells how long it has waited', () => {
    const { gate, observed } = createGate({ readMs: 30 })
    expect(sendRequest(gate)).toEqual({ delay: { readMs: 30, iterationMs: 1, busyMs: 30 } })
    expect(observed).toEqual([{ account: 'team', isAdmitted: true, readMs: 30 }])
    expect(gate.refused).toBe(0)
  })

  // Guards against requests that wait at a hot router until their deadline, and against refused demand that no share counts.
  it('refuses a request that has waited too long for its objective as not run, and counts its tokens', () => {
    const { gate, lines } = createGate({ readMs: 150 })
    const { delay, status, headers, body } = sendRequest(gate)
    expect([delay, status]).toEqual([undefined, 503])
    expect(headers!.slice(-2)).toEqual(['retry-after', '0.05'])
    expect(JSON.parse(body!).error).toMatchObject({ kind: 'no-target', outcome: 'not-run' })
    expect(gate.takeDemand()).toEqual([['team', 220]])
    expect(gate.takeDemand()).toEqual([])
    gate.close()
    expect(lines).toEqual([expect.objectContaining({ refused: 1, longestReadMs: 150, accounts: [['team', 1]], requestIds: ['9c41'] })])
  })

  // Guards against work for callers that have given up before their connection was accepted.
  it('counts the time that the connection waited to be accepted', () => {
    expect(sendRequest(createGate({ readMs: 5, acceptMs: 400 }).gate)).toMatchObject({ delay: undefined, status: 503 })
    expect(sendRequest(createGate({ readMs: 5, acceptMs: 20 }).gate).delay).toMatchObject({ readMs: 25 })
  })

  it('closes the connections of refused requests once the router is out of rotation', () => {
    expect(sendRequest(createGate({ readMs: 150, isClosing: true }).gate).headers!.slice(-2)).toEqual(['connection', 'close'])
  })
})
