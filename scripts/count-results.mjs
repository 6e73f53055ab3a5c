/**
 * Counts the results in a Jest report. A failed file without a failed test counts as one failure: the file could not be
 * run, or an error was thrown outside its tests, for example by an unhandled promise rejection. Failures of the tests in
 * `known` are expected: they are returned as `red` and not counted as failures.
 */
export function countResults (report, known) {
  const tests = report.testResults.flatMap(file => file.assertionResults)
  const failed = tests.filter(test => test.status === 'failed')
  const red = failed.filter(test => known.has(test.fullName)).map(test => test.fullName)
  const brokenFiles = report.testResults
    .filter(file => file.status === 'failed' && !file.assertionResults.some(test => test.status === 'failed'))
    .map(file => file.name)
  // Errors that Jest can't assign to a file are visible only in the success flag of the whole run.
  const hasUnassignedError = report.success === false && failed.length === 0 && brokenFiles.length === 0
  return {
    passed: tests.filter(test => test.status === 'passed').length,
    failures: failed.length - red.length + brokenFiles.length + (hasUnassignedError ? 1 : 0),
    red,
    brokenFiles
  }
}
