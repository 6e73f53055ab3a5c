import { execFileSync } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, readSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitFor } from '../../../test/_lib/waitFor'
import { BoundedLineStream } from '.'

/** Capacity of a pipe on Linux. */
const PIPE_BYTES = 65_536

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
    await stream.flush(60_000)
    closeSync(descriptor)
  })

  // Guards against a stop whose last log lines are lost, because the process exits while they are still pending.
  it('resolves a flush when all pending lines are written', async () => {
    const file = join(mkdtempSync(join(tmpdir(), 'lines-')), 'log')
    const descriptor = openSync(file, 'a')
    const stream = new BoundedLineStream({ descriptor, maxPendingBytes: 1_024 })
    stream.write('line 0\n')
    await new Promise(resolve => setImmediate(resolve))
    stream.write('line 1\n')
    expect(await stream.flush(60_000)).toBe(true)
    expect(readFileSync(file, 'utf8')).toBe('line 0\nline 1\n')
    closeSync(descriptor)
  })

  // Guards against an exit that a log reader holds up by not reading.
  it('resolves a flush at its time limit while the reader does not read', async () => {
    const pipe = join(mkdtempSync(join(tmpdir(), 'lines-')), 'pipe')
    execFileSync('mkfifo', [pipe])
    const descriptor = openSync(pipe, 'r+')
    const stream = new BoundedLineStream({ descriptor, maxPendingBytes: PIPE_BYTES * 2 })
    stream.write(`${'x'.repeat(PIPE_BYTES)}\n`)
    const isWritten = await stream.flush(20)
    // Reads the pipe before any check, because the test process can't exit while a write waits.
    let readBytes = readSync(descriptor, Buffer.alloc(PIPE_BYTES))
    const isWrittenLater = await stream.flush(60_000)
    readBytes += readSync(descriptor, Buffer.alloc(PIPE_BYTES))
    expect({ isWritten, isWrittenLater, readBytes }).toEqual({ isWritten: false, isWrittenLater: true, readBytes: PIPE_BYTES + 1 })
    closeSync(descriptor)
  })
})
