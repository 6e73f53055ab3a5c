import { closeSync, mkdtempSync, openSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitFor } from '../../../test/_lib/waitFor'
import { BoundedLineStream } from '.'

describe('BoundedLineStream', () => {
  // Guards against logs that block the process or fill its memory when their reader is slow.
  it('keeps lines up to its bound and tells how many it left out', async () => {
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
