import { PromptQuarantine } from '../PromptQuarantine'
import { CrashMonitor } from '.'

let nextId = 0
function createRequest (...shared: string[]) {
  const id = String(nextId++)
  return { id, callId: `call-${id}`, account: 'a', service: 's', zone: 'z', parts: [...shared, `own${id}`].map(part => ({ id: part, tokens: 10 })), promptTokens: 30, outputTokens: 10, objectiveMs: 600, excluded: [] }
}

function createMonitor () {
  const lines: Array<Record<string, unknown>> = []
  const log = (message: string, fields?: Record<string, unknown>) => { lines.push({ message, ...fields }) }
  const monitor = new CrashMonitor({ quarantine: new PromptQuarantine(), logger: { error: log, warn: log, info: log, debug: log } })
  const place = (target: string, parts: string[], nowMs: number): string => {
    const request = createRequest(...parts)
    monitor.start(request, { target, isRead: false }, nowMs)
    monitor.recordPlacement(request, target, nowMs)
    return request.id
  }
  const crash = (target: string, parts: string[], nowMs: number): void => monitor.record(place(target, parts, nowMs), 'lost', nowMs + 100)
  return { monitor, lines, place, crash }
}

describe('CrashMonitor', () => {
  // Guards against callers that are invited to return at once, and so load the fleet with requests that are refused again.
  it('refuses requests with a blocked part for the remaining block time, and for a second at least', () => {
    const { monitor, crash } = createMonitor()
    crash('t1', ['a', 'bad'], 0)
    expect(monitor.findRefusal(createRequest('a', 'bad'), 200)).toBeUndefined()
    crash('t2', ['b', 'bad'], 1_000)
    expect(monitor.findRefusal(createRequest('c', 'bad'), 1_100)).toEqual({ type: 'blocked', part: 'bad', crashes: 2, retryAfterS: 2 })
    expect(monitor.findRefusal(createRequest('c', 'bad'), 3_000)).toMatchObject({ retryAfterS: 1 })
    expect(monitor.findRefusal(createRequest('b'), 1_100)).toBeUndefined()
  })

  // Guards against an innocent part that stays blocked after its answer, and against blocks that can't be explained.
  it('logs when a part is blocked, probed and cleared, with the evidence', () => {
    const { monitor, lines, place, crash } = createMonitor()
    crash('t1', ['a', 'bad'], 0)
    crash('t2', ['b', 'bad'], 1_000)
    const probe = place('t3', ['c', 'bad'], 4_000)
    monitor.record(probe, 'read', 4_200)
    expect(monitor.findRefusal(createRequest('bad'), 4_300)).toBeDefined()
    expect(monitor.findRefusal(createRequest('bad'), 4_700)).toBeUndefined()
    const evidence = { service: 's', part: 'bad', crashes: 2, targets: ['t1', 't2'] }
    expect(lines).toMatchObject([
      { message: 'A target crashed.', target: 't1', requests: 1, suspects: ['a', 'bad'] },
      { message: 'A target crashed.', target: 't2', requests: 1, suspects: ['b', 'bad'] },
      { message: 'A prompt part is blocked, because targets crash when they answer requests with it.', ...evidence, blockedMs: 2_000, otherSuspects: ['b'] },
      { message: 'A request probes whether a prompt part still crashes targets.', ...evidence, target: 't3', requestId: `call-${probe}` },
      { message: 'A prompt part was answered and is no longer blocked.', ...evidence }
    ])
  })
})
