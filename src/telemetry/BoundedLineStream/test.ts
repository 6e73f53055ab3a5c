import { closeSync, mkdtempSync, openSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitFor } from '../../../test/_lib/waitFor'
import { BoundedLineStream } from '.'

describe('BoundedLineStream', () => {
  // Guards against a slow log reader that blocks the process or makes it run out of memory.
  it('buffers lines up to its limit and logs how many it dropped', async () => {
    const file = join(mkdtempSync(join(tmpdir(), 'lines-')), 'log')
    const descriptor = openSync(file, 'a')
    const stream = new BoundedLineStream({ descriptor, maxPendingBytes: 21 })
    for (let i = 0; i < 10; i++) stream.write(`line ${i}\n`)
    await waitFor('the lines', async () => readFileSync(file, 'utf8').split('\n').length > 3)
    expect(readFileSync(file, 'utf8')).toBe('line 0\nline 1\nline 2\n')
    await waitFor('the buffer to be empty', async () => {
      stream.write('later\n')
      return readFileSync(file, 'utf8').includes('later')
    })
    expect(readFileSync(file, 'utf8')).toContain('"lines":7')
    closeSync(descriptor)
  })
})
