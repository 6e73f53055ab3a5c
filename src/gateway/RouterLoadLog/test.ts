import { RouterLoadLog } from '.'

const clock = { nowMs: 0, iterations: 0, idleMs: 0 }
let lines: object[]
let log: RouterLoadLog

beforeEach(() => {
  Object.assign(clock, { nowMs: 0, iterations: 0, idleMs: 0 })
  lines = []
  const logger = { warn: (message: string, fields: object) => { lines.push({ message, ...fields }) } }
  log = new RouterLoadLog({ logger: logger as never, now: () => clock.nowMs, countIterations: () => clock.iterations, getIdleMs: () => clock.idleMs })
})

describe('RouterLoadLog', () => {
  // Guards against an overload of which no log tells whether the router still serves calls, and whose.
  it('logs what a busy router accepted and refused in a second', () => {
    log.addConnection()
    log.add({ account: 'hot', isAdmitted: true, readMs: 100 })
    log.add({ account: 'hot', isAdmitted: false, readMs: 300 })
    log.add({ account: 'small', isAdmitted: true, readMs: 50 })
    Object.assign(clock, { nowMs: 1_000, iterations: 90, idleMs: 50 })
    log.addConnection()
    expect(lines).toEqual([{ message: 'The router was busy.', intervalMs: 1_000, utilization: 0.95, iterations: 90, connections: 1, admitted: 2, refused: 1, meanReadMs: 150, accounts: [{ account: 'hot', admitted: 1, refused: 1 }, { account: 'small', admitted: 1, refused: 0 }] }])
  })

  it('logs nothing of a second with time to spare, unless calls were refused in it', () => {
    log.add({ account: 'a', isAdmitted: true, readMs: 0 })
    Object.assign(clock, { nowMs: 1_000, idleMs: 900 })
    log.add({ account: 'a', isAdmitted: false, readMs: 0 })
    expect(lines).toEqual([])
    Object.assign(clock, { nowMs: 2_000, idleMs: 1_800 })
    log.add({ account: 'a', isAdmitted: true, readMs: 0 })
    expect(lines).toMatchObject([{ utilization: 0.1, refused: 1 }])
  })
})
