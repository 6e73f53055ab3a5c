/**
 * Counts the results of a report of jest. A file that failed although none of its tests did counts as one failure: it
 * could not be run, or something outside of its tests was thrown, for example by a promise that nobody handled.
 * Failures of tests that are known to be red are listed apart.
 */
export function countResults (report, known) {
  const tests = report.testResults.flatMap(file => file.assertionResults)
  const failed = tests.filter(test => test.status === 'failed')
  const red = failed.filter(test => known.has(test.fullName)).map(test => test.fullName)
  const brokenFiles = report.testResults
    .filter(file => file.status === 'failed' && !file.assertionResults.some(test => test.status === 'failed'))
    .map(file => file.name)
  // Errors that jest can't assign to a file show only in the verdict on the whole run.
  const hasUnassigned = report.success === false && failed.length === 0 && brokenFiles.length === 0
  return {
    passed: tests.filter(test => test.status === 'passed').length,
    failures: failed.length - red.length + brokenFiles.length + (hasUnassigned ? 1 : 0),
    red,
    brokenFiles
  }
}
