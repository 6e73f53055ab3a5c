// Runs Jest, tolerates only the failures of tests that KNOWN-RED.txt names, and prints the numbers of passed and failed
// tests as the last line.
import { spawn } from 'node:child_process'
import { countResults } from './count-results.mjs'
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs'

const REPORT = 'dist/jest.json'
/** Time that Jest may take to exit after it wrote its report. It has hung while exiting, after all tests had passed. */
const EXIT_TIMEOUT_MS = 10_000
const RUN_TIMEOUT_MS = 40 * 60_000
const POLL_INTERVAL_MS = 500

function readKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim()))
}

function runJest (args) {
  const child = spawn(process.execPath, ['node_modules/.bin/jest', '--json', `--outputFile=${REPORT}`, ...args], { stdio: ['ignore', 'ignore', 'inherit'] })
  const startedAtMs = performance.now()
  let reportedAtMs
  const timer = setInterval(() => {
    if (existsSync(REPORT)) reportedAtMs ??= performance.now()
    const isExitOverdue = reportedAtMs !== undefined && performance.now() - reportedAtMs > EXIT_TIMEOUT_MS
    if (isExitOverdue || performance.now() - startedAtMs > RUN_TIMEOUT_MS) child.kill('SIGKILL')
  }, POLL_INTERVAL_MS)
  return new Promise(resolve => child.on('exit', code => {
    clearInterval(timer)
    resolve(code)
  }))
}

mkdirSync('dist', { recursive: true })
rmSync(REPORT, { force: true })
const code = await runJest(process.argv.slice(2))
if (!existsSync(REPORT)) {
  console.error(`jest wrote no report to ${REPORT}; its exit code is ${code}.`)
  process.exit(code || 1)
}
const report = JSON.parse(readFileSync(REPORT, 'utf8'))
const { passed, failures, red, brokenFiles } = countResults(report, readKnownRed())
for (const name of red) console.log(`known red: ${name}`)
for (const name of brokenFiles) console.log(`failed outside of its tests: ${name}`)
console.log(`${passed} passed, ${failures} failed`)
process.exit(failures === 0 && passed > 0 ? 0 : 1)
