import { LogStorage } from '.'
import { MemoryFileSystem } from '../../../test/_lib/MemoryFileSystem'
import type { LogEntry } from '../../contract/LogEntry'

const DIRECTORY = '/data/settings'
const SEGMENT = `${DIRECTORY}/segment-000000000001.log`
const members = { clusterId: 'x', voters: [], learners: [] }
const createEntry = (offset: number, term = 1): LogEntry => ({ offset, term, command: Buffer.from(`command ${offset} of term ${term}`) })
const openStorage = (fileSystem: MemoryFileSystem) => LogStorage.open({ fileSystem, directory: DIRECTORY, instance: 'c1' })

/** Runs every kind of operation. `expected` holds the state that must survive a crash at any later time. */
async function writeAll (storage: LogStorage, expected: { term: number, offset: number, lastTerm: number }): Promise<void> {
  const saveVote = async (term: number) => {
    await storage.saveVote({ ...storage.vote, term })
    expected.term = term
  }
  const append = async (entries: LogEntry[]) => {
    await storage.append(entries)
    Object.assign(expected, { offset: entries.at(-1)!.offset, lastTerm: entries.at(-1)!.term })
  }
  await saveVote(1)
  await append([1, 2, 3, 4, 5].map(offset => createEntry(offset)))
  await saveVote(2)
  await append([createEntry(4, 2)])
  await storage.saveSnapshot({ offset: 3, term: 1, members, state: Buffer.from('state') })
  await storage.truncateThrough(3)
  await append([createEntry(5, 2), createEntry(6, 2)])
  await storage.saveSnapshot({ offset: 9, term: 3, members, state: Buffer.from('state of the leader') })
  Object.assign(expected, { offset: 9, lastTerm: 3 })
  await storage.clear()
  await append([createEntry(10, 3)])
}

describe('LogStorage', () => {
  it.each([0, 7, 1_000])('keeps what it reported as durable after a crash at each operation (%d unsynced bytes left)', async keptBytes => {
    for (let crashAt = 1; ; crashAt++) {
      const fileSystem = new MemoryFileSystem()
      const expected = { term: 0, offset: 0, lastTerm: 0 }
      const first = await openStorage(fileSystem)
      let operations = 0
      fileSystem.onOperation = () => { if (++operations === crashAt) throw new Error('crash') }
      const isComplete = await writeAll(first, expected).then(() => true, () => false)
      fileSystem.onOperation = () => {}
      fileSystem.crash(keptBytes)
      const reopened = await openStorage(fileSystem)
      const { vote, entries, snapshot } = reopened
      const last = entries.at(-1) ?? snapshot ?? { offset: 0, term: 0 }
      expect(vote.id).toBe(first.vote.id)
      expect(vote.term).toBeGreaterThanOrEqual(expected.term)
      // A replaced tail may be shorter than the old one, but its term is never lower.
      expect(last.term).toBeGreaterThanOrEqual(expected.lastTerm)
      if (last.term === expected.lastTerm) expect(last.offset).toBeGreaterThanOrEqual(expected.offset)
      await reopened.append([createEntry(last.offset + 1, 9)])
      expect((await openStorage(fileSystem)).entries.at(-1)?.term).toBe(9)
      if (isComplete) return
    }
  })

  it.each(['append', 'sync', 'rename', 'syncDirectory'])('reports a failing %s as disk-failed, so that the process ends', async failing => {
    const fileSystem = new MemoryFileSystem()
    const storage = await openStorage(fileSystem)
    fileSystem.onOperation = name => { if (name === failing) throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' }) }
    await expect(writeAll(storage, { term: 0, offset: 0, lastTerm: 0 })).rejects.toMatchObject({ kind: 'disk-failed' })
  })

  it('truncates a torn tail, also when a later part of the same unsynced batch reached the disk', async () => {
    const fileSystem = new MemoryFileSystem()
    const storage = await openStorage(fileSystem)
    await storage.append([createEntry(1)])
    await storage.append([createEntry(2), createEntry(3), createEntry(4)])
    fileSystem.damage(SEGMENT, content => {
      content[content.indexOf('command 3')] ^= 1
      return content
    })
    expect((await openStorage(fileSystem)).entries.map(({ offset }) => offset)).toEqual([1, 2])
  })

  it.each([
    ['a damaged record before synced ones', (fileSystem: MemoryFileSystem) => fileSystem.damage(SEGMENT, content => { content[30] ^= 1; return content })],
    ['a damaged length before synced records', (fileSystem: MemoryFileSystem) => fileSystem.damage(SEGMENT, content => { content[2] ^= 1; return content })],
    ['a missing segment', (fileSystem: MemoryFileSystem) => fileSystem.removeFile(SEGMENT)],
    ['a missing vote file', (fileSystem: MemoryFileSystem) => fileSystem.removeFile(`${DIRECTORY}/vote`)],
    ['a damaged vote file', (fileSystem: MemoryFileSystem) => fileSystem.damage(`${DIRECTORY}/vote`, content => content.subarray(0, 20))]
  ])('refuses %s as log-corrupted, because a shorter log would lose accepted changes', async (_case, damage) => {
    const fileSystem = new MemoryFileSystem()
    const storage = await openStorage(fileSystem)
    await storage.append([createEntry(1)])
    await storage.append([createEntry(2)])
    await damage(fileSystem)
    await expect(openStorage(fileSystem)).rejects.toMatchObject({ kind: 'log-corrupted' })
  })
})
