import { CrashDetector } from '.'

const createParts = (name: string) => [{ id: name, tokens: 10 }, { id: `own-${name}`, tokens: 10 }]

function createDetector (calls: Record<string, string>): CrashDetector {
  const detector = new CrashDetector()
  for (const [id, target] of Object.entries(calls)) detector.start(id, { service: 's', parts: createParts(id), target }, 0)
  return detector
}

const listSuspects = (crash: ReturnType<CrashDetector['record']>) => crash?.prompts.map(([{ id }]) => id)

describe('CrashDetector', () => {
  // Guards against crashes that go unnoticed: then every further call with the part crashes one more target.
  it('reports a crash once all calls at a target are lost, also if a busy router reports late', () => {
    const detector = createDetector({ 1: 'a', 2: 'a', 3: 'a', 4: 'b' })
    expect(detector.record('1', 'lost', 100)).toBeUndefined()
    expect(detector.record('2', 'lost', 110)).toBeUndefined()
    expect(detector.record('3', 'lost', 350)).toMatchObject({ service: 's', target: 'a', startedMs: [0, 0, 0], crashedMs: 100 })
  })

  // Guards against a crash of a target with little work that goes unnoticed.
  it('takes the loss of the only call at a target as a crash', () => {
    expect(listSuspects(createDetector({ 1: 'a', 2: 'b' }).record('1', 'lost', 100))).toEqual(['1'])
  })

  // Guards against suspicion of healthy parts after a single truncated answer, or after a cut between a zone and a target.
  it('reports no crash while other calls at the target go on', () => {
    const detector = createDetector({ 1: 'a', 2: 'a', 3: 'a' })
    expect(detector.record('1', 'lost', 100)).toBeUndefined()
    expect(detector.record('2', 'lost', 110)).toBeUndefined()
    expect(detector.record('3', 'read', 700)).toBeUndefined()
    expect(detector.record('3', 'ended', 2_000)).toBeUndefined()
  })

  // Guards against a crash that goes unnoticed, because a router still tries to connect to the crashed target.
  it('reports a crash after some time although a call that was not read has not ended', () => {
    const detector = createDetector({ 1: 'a', 2: 'a', 3: 'a' })
    detector.record('1', 'lost', 100)
    detector.record('2', 'lost', 110)
    expect(detector.takeOverdueCrashes(450)).toEqual([])
    expect(detector.takeOverdueCrashes(510)).toMatchObject([{ target: 'a', crashedMs: 100, startedMs: [0, 0] }])
    expect(detector.takeOverdueCrashes(520)).toEqual([])
  })

  // Guards against suspicion after a cut between a zone and a target, while a call of another zone is being answered.
  it('reports no crash after that time if a call that was read goes on', () => {
    const detector = createDetector({ 1: 'a', 2: 'a', 3: 'a' })
    detector.record('3', 'read', 50)
    detector.record('1', 'lost', 100)
    detector.record('2', 'lost', 110)
    expect(detector.takeOverdueCrashes(510)).toEqual([])
  })

  // Guards against a truncated answer that counts as a crash because the other call at the target ended well soon after.
  it('reports no crash if as many calls end well as are lost', () => {
    const detector = createDetector({ 1: 'a', 2: 'a' })
    detector.record('2', 'read', 50)
    expect(detector.record('1', 'lost', 100)).toBeUndefined()
    expect(detector.record('2', 'ended', 200)).toBeUndefined()
  })

  // Guards against suspicion after a router was killed (its calls end), a drain, or a target that can't be reached.
  it.each(['ended', 'unreachable', 'withdrawn'] as const)('reports no crash if all calls end with "%s"', event => {
    const detector = createDetector({ 1: 'a', 2: 'a' })
    expect(detector.record('1', event, 100)).toBeUndefined()
    expect(detector.record('2', event, 110)).toBeUndefined()
  })

  // Guards against suspicion of parts that the target had long begun to answer: only the beginning of an answer crashes it.
  it('suspects the calls that were not read or only just, and not those that were read before', () => {
    const detector = createDetector({ read: 'a', recent: 'a', unread: 'a' })
    detector.record('read', 'read', 100)
    detector.record('recent', 'read', 900)
    detector.record('read', 'lost', 1_000)
    detector.record('recent', 'lost', 1_001)
    expect(listSuspects(detector.record('unread', 'lost', 1_002))).toEqual(['recent', 'unread'])
  })

  // Guards against a part that is cleared by the very call that crashes its target some moments after its first event.
  it('counts an answer only once the target has survived it', () => {
    const detector = createDetector({ 1: 'a', 2: 'b' })
    detector.record('1', 'read', 100)
    detector.record('2', 'read', 100)
    expect(detector.takeAnswered(200)).toEqual([])
    detector.record('1', 'lost', 200)
    expect(detector.takeAnswered(600)).toEqual([{ service: 's', parts: createParts('2'), readMs: 100 }])
    expect(detector.takeAnswered(2_000)).toEqual([])
  })

  // Guards against one crash that counts twice: a connection to a target that is down is reset without a new crash.
  it('does not report a target again that has not begun to answer since its crash', () => {
    const detector = createDetector({ 1: 'a' })
    expect(detector.record('1', 'lost', 100)).toBeDefined()
    detector.start('2', { service: 's', parts: createParts('2'), target: 'a' }, 110)
    expect(detector.record('2', 'lost', 150)).toBeUndefined()
    detector.start('3', { service: 's', parts: createParts('3'), target: 'a' }, 2_500)
    expect(listSuspects(detector.record('3', 'lost', 2_700))).toEqual(['3'])
  })

  // Guards against a part that is cleared by a call that was read before its scheduler began to follow it.
  it('neither suspects nor clears the parts of adopted calls that were read before', () => {
    const detector = createDetector({ 1: 'a' })
    detector.start('2', { service: 's', parts: createParts('2'), target: 'a', isRead: true }, 0)
    expect(detector.takeAnswered(2_000)).toEqual([])
    detector.record('2', 'lost', 2_100)
    expect(listSuspects(detector.record('1', 'lost', 2_101))).toEqual(['1'])
  })
})
