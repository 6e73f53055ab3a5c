// @ts-expect-error The script has no types.
import { countResults } from '../scripts/count-results.mjs'

const file = (name: string, status: string, tests: Record<string, string>) => ({ name, status, assertionResults: Object.entries(tests).map(([fullName, result]) => ({ fullName, status: result })) })
const count = (testResults: object[], known: string[] = [], success = true) => countResults({ testResults, success }, new Set(known))

describe('countResults', () => {
  it('counts passed and failed tests, and lists those that are known to be red', () => {
    const files = [file('a', 'failed', { one: 'passed', two: 'failed', three: 'failed' }), file('b', 'passed', { four: 'passed' })]
    expect(count(files, ['three'], false)).toEqual({ passed: 2, failures: 1, red: ['three'], brokenFiles: [] })
  })

  // Guards against a run reported as passed although an unhandled rejection, or a file that can't be loaded, failed a suite.
  it('counts a file that failed although none of its tests did', () => {
    expect(count([file('a', 'failed', { one: 'passed' })], [], false)).toMatchObject({ passed: 1, failures: 1, brokenFiles: ['a'] })
    expect(count([file('a', 'failed', {})], [], false)).toMatchObject({ failures: 1, brokenFiles: ['a'] })
  })

  it('counts a run that jest judges as failed without naming a file', () => {
    expect(count([file('a', 'passed', { one: 'passed' })], [], false)).toMatchObject({ passed: 1, failures: 1 })
  })
})
