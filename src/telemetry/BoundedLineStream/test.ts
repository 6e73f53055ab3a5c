import { closeSync, mkdtempSync, openSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitFor } from '../../../test/_lib/waitFor'
import { BoundedLineStream } from '.'

describe('BoundedLineStream', () => {
  // Guards against logs that block the process or fill its memory under load.
  it('writes lines up to its rate and tells how many it left out', async () => {
    const file = join(mkdtempSync(join(tmpdir(), 'lines-')), 'log')
    const descriptor = openSync(file, 'a')
    const stream = new BoundedLineStream({ descriptor, maxPendingBytes: 10_000, maxLinesPerS: 3 })
    for (let i = 0; i < 10; i++) stream.write(`line ${i}\n`)
    await waitFor('the lines', async () => readFileSync(file, 'utf8').split('\n').length > 3)
    expect(readFileSync(file, 'utf8')).toBe('line 0\nline 1\nline 2\n')
    await waitFor('the next second', async () => {
      stream.write('later\n')
      return readFileSync(file, 'utf8').includes('later')
    })
    expect(readFileSync(file, 'utf8')).toContain('"lines":')
    closeSync(descriptor)
  })

  // Guards against a warning that is lost among the lines of requests, as that of an overloaded router was.
  it('leaves room for warnings and errors under load', async () => {
    const file = join(mkdtempSync(join(tmpdir(), 'lines-')), 'log')
    const descriptor = openSync(file, 'a')
    const stream = new BoundedLineStream({ descriptor, maxPendingBytes: 10_000, maxLinesPerS: 2 })
    for (let i = 0; i < 5; i++) stream.write('{"level":"info"}\n')
    for (let i = 0; i < 5; i++) stream.write(`{"level":"warn","i":${i}}\n`)
    await waitFor('the lines', async () => readFileSync(file, 'utf8').includes('"i":1'))
    const lines = readFileSync(file, 'utf8')
    expect([lines.match(/info/g)?.length, lines.match(/"i":/g)?.length]).toEqual([2, 2])
    closeSync(descriptor)
  })
})
