import { fileURLToPath } from 'node:url'
import { Record } from './Record.mjs'
import { SmallFleet } from './SmallFleet.mjs'

/** Exit codes of a case. */
export const HELD = 0
export const BROKEN = 1
const NOT_RUN = 2
const TIME_LIMIT_MS = 115_000

/**
 * Runs a case: `play` gets the fleet, the record and whether there is a disruption, and returns an exit code. Everything
 * that was started is ended before the exit.
 */
export async function runCase (url, play) {
  const record = new Record(fileURLToPath(new URL('record.txt', url)))
  const fleet = new SmallFleet({ record: line => record.add(line) })
  const exit = (code, line) => {
    record.add(line)
    console.log(line)
    record.save()
    fleet.close()
    process.exit(code)
  }
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => exit(NOT_RUN, `The case was ended by ${signal}.`))
  setTimeout(() => exit(NOT_RUN, 'The case took too long.'), TIME_LIMIT_MS).unref()
  try {
    const { code, line } = await play({ fleet, record, hasTrouble: process.env.TROUBLE !== '0' })
    exit(code, line)
  } catch (error) {
    exit(NOT_RUN, `The case could not run: ${error instanceof Error ? error.message : error}`)
  }
}
