import { writeFileSync } from 'node:fs'

/** Lines of what was sent, answered and run, with the milliseconds since the start; written to record.txt at the end. */
export class Record {
  #startedAt = Date.now()
  #lines = []
  #file

  constructor (file) {
    this.#file = file
  }

  add (line) {
    this.#lines.push(`${String(Date.now() - this.#startedAt).padStart(6)} ${line}`)
  }

  save () {
    writeFileSync(this.#file, this.#lines.join('\n') + '\n')
  }
}
