import { ReadinessCheck } from '.'

describe('ReadinessCheck', () => {
  // Guards against an incident in which nobody can tell when a router left the rotation, and why.
  it('logs each change of the answer once, with its reasons', () => {
    const lines: Array<[string, unknown]> = []
    const log = (message: string, fields?: Record<string, unknown>): void => { lines.push([message, fields?.reasons]) }
    let [hasDocument, isOverloaded] = [false, false]
    const check = new ReadinessCheck({ obstacles: { 'no-document': () => !hasDocument, overloaded: () => isOverloaded }, logger: { error: log, warn: log, info: log, debug: log } })
    expect([check.isReady(), check.isReady()]).toEqual([false, false])
    expect(check.msToFirstReady).toBeUndefined()
    hasDocument = true
    expect(check.isReady()).toBe(true)
    isOverloaded = true
    expect(check.isReady()).toBe(false)
    expect(lines).toEqual([['The router is not ready.', ['no-document']], ['The router is ready.', undefined], ['The router is not ready.', ['overloaded']]])
    expect(check.msToFirstReady).toBeGreaterThanOrEqual(0)
  })
})
