import { LogTask } from '.'
import { blockEventLoop } from '../../../test/_lib/blockEventLoop'
import { MemoryFileSystem } from '../../../test/_lib/MemoryFileSystem'
import type { AppError } from '../../contract/AppError'
import { LogStorage } from '../LogStorage'
import type { LogTaskOptions } from '../LogTaskOptions'
import type { StateMachine } from '../StateMachine'

class ListMachine implements StateMachine {
  offset = 0
  commands: unknown[] = []
  apply (command: unknown, offset: number): unknown {
    this.offset = offset
    if (command !== null) this.commands.push(command)
    return { count: this.commands.length }
  }

  getState (): unknown { return { offset: this.offset, commands: this.commands } }
  install (state: unknown): void { Object.assign(this, state) }
}

async function waitFor (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

/** Delays each sync of a vote by `voteSyncMs`, as on a busy or throttled disk. */
function delayVotes (storage: LogStorage, disk: { voteSyncMs: number }): void {
  const saveVote = storage.saveVote.bind(storage)
  storage.saveVote = async vote => {
    if (disk.voteSyncMs > 0) await new Promise(resolve => setTimeout(resolve, disk.voteSyncMs))
    await saveVote(vote)
  }
}

/** Starts three replicas in this process, on in-memory file systems, and waits until one of them leads. */
async function startReplicas (disk = { voteSyncMs: 0 }, options: Partial<LogTaskOptions> = {}) {
  const names = ['c1', 'c2', 'c3']
  const muted = new Set<LogTask>()
  const replicas: Array<{ log: LogTask, machine: ListMachine, fileSystem: MemoryFileSystem, errors: AppError[] }> = []
  for (const name of names) {
    const [fileSystem, machine, errors] = [new MemoryFileSystem(), new ListMachine(), [] as AppError[]]
    const find = (id: string) => replicas[names.indexOf(id.split(':')[0])].log
    const storage = await LogStorage.open({ fileSystem, directory: '/data/settings', instance: name })
    delayVotes(storage, disk)
    const log: LogTask = new LogTask({
      storage,
      machine,
      transport: {
        send: message => { if (!muted.has(log)) setImmediate(() => find(message.to).handleMessage(message)) },
        request: (instance, type, body) => type === 'propose' ? find(instance).proposeHere(body) : find(instance).confirmReadHere()
      },
      peers: names.filter(other => other !== name),
      snapshotEvery: 10,
      onFatal: error => errors.push(error),
      ...options
    })
    replicas.push({ log, machine, fileSystem, errors })
  }
  for (const { log } of replicas) log.start()
  await waitFor(() => replicas.some(({ log }) => log.getStatus().role === 'leader'))
  const leader = replicas.find(({ log }) => log.getStatus().role === 'leader')!
  const followers = replicas.filter(replica => replica !== leader)
  return { replicas, leader, followers, muted }
}

describe('LogTask', () => {
  // Guards against stale settings that are reported as current: a replica that receives the new leader's messages, but
  // whose own messages are lost, does not get the new entries.
  it('reports that it is not up to date when its leader has committed entries that it lacks', async () => {
    const { replicas, leader: former, followers, muted } = await startReplicas()
    await former.log.propose('before')
    expect(former.log.ageMs).toBe(0)
    muted.add(former.log)
    await waitFor(() => followers.some(({ log }) => log.getStatus().role === 'leader'))
    const leader = followers.find(({ log }) => log.getStatus().role === 'leader')!
    await leader.log.propose('after')
    await new Promise(resolve => setTimeout(resolve, 900))
    expect(leader.log.ageMs).toBe(0)
    expect(former.log.ageMs).toBeGreaterThan(500)
    for (const { log } of followers) expect(log.ageMs).toBeLessThan(500)
    muted.clear()
    await waitFor(() => former.log.ageMs < 200)
    expect(former.machine.commands).toContain('after')
    await Promise.all(replicas.map(({ log }) => log.close()))
  })

  // Guards against an election timeout that stays long after one slow sync of a vote, so that a lost leader is noticed
  // only after seconds.
  it('elects a new leader within the usual time after an earlier election on slow disks', async () => {
    const disk = { voteSyncMs: 700 }
    const { replicas, leader, followers } = await startReplicas(disk)
    await leader.log.propose('a')
    disk.voteSyncMs = 0
    const startedAtMs = performance.now()
    await leader.log.close()
    await waitFor(() => followers.some(({ log }) => log.getStatus().role === 'leader'))
    expect(performance.now() - startedAtMs).toBeLessThan(2_000)
    await Promise.all(replicas.map(({ log }) => log.close()))
  })

  // Guards against elections that never succeed: on a throttled disk each candidate timed out before votes were durable.
  it('elects a leader although a vote takes longer to sync than the election timeout', async () => {
    const startedAtMs = performance.now()
    const { replicas, followers: [follower] } = await startReplicas({ voteSyncMs: 700 })
    expect(await follower.log.propose('a', { timeoutMs: 15_000 })).toEqual({ count: 1 })
    expect(performance.now() - startedAtMs).toBeLessThan(15_000)
    await Promise.all(replicas.map(({ log }) => log.close()))
  })

  it('forwards proposals and reads from a follower to the leader, and reads see what was accepted before', async () => {
    const { replicas, followers: [follower] } = await startReplicas()
    const results = await Promise.all(Array.from({ length: 30 }, (_, i) => follower.log.propose({ i })))
    expect(results).toHaveLength(30)
    for (const { log, machine } of replicas) {
      await log.confirmRead()
      expect(machine.commands).toHaveLength(30)
    }
    await Promise.all(replicas.map(({ log }) => log.close()))
  })

  it('batches proposals, so that many of them share one sync', async () => {
    const { replicas, leader } = await startReplicas()
    let syncs = 0
    leader.fileSystem.onOperation = name => { if (name === 'sync') syncs++ }
    await Promise.all(Array.from({ length: 200 }, (_, i) => leader.log.propose({ i })))
    expect(syncs).toBeLessThan(40)
    await Promise.all(replicas.map(({ log }) => log.close()))
  })

  it.each(['leader', 'follower'])('stops a %s whose disk is full; it grants no vote after that, and no accepted command is lost', async role => {
    const { replicas, leader, followers } = await startReplicas()
    await leader.log.propose('before')
    const failed = role === 'leader' ? leader : followers[0]
    const others = replicas.filter(replica => replica !== failed)
    failed.fileSystem.onOperation = name => {
      if (['append', 'sync'].includes(name)) throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' })
    }
    const result = await others[0].log.propose('after').catch((error: AppError) => error.outcome)
    await waitFor(() => failed.errors.length > 0)
    expect(failed.errors.map(({ kind }) => kind)).toEqual(['disk-failed'])
    const { term } = failed.log.getStatus()
    await others[0].log.propose('later')
    await others[1].log.confirmRead()
    expect(failed.log.getStatus().term).toBe(term)
    for (const { machine } of others) expect(machine.commands).toEqual(expect.arrayContaining(['before', 'later', ...(result === 'unknown' ? [] : ['after'])]))
    await Promise.all(others.map(({ log }) => log.close()))
  })

  // Guards against a change of leader that nobody can explain afterwards: it looks the same whether the leader was cut off
  // or its process was busy.
  it('reports why roles changed, late ticks and applied entries', async () => {
    const [reasons, delaysMs] = [new Set<string>(), [] as number[]]
    const { replicas, leader } = await startReplicas(undefined, {
      onRoleChanged: ({ reason }) => reasons.add(reason),
      onLateTick: delayMs => delaysMs.push(delayMs)
    })
    await leader.log.propose('a')
    expect([...reasons]).toEqual(expect.arrayContaining(['election-timeout', 'pre-vote-won', 'vote-won', 'leader-found']))
    expect(leader.log.statistics.appliedBytes).toBeGreaterThan(0)
    expect(leader.log.statistics.appliedEntries).toBeGreaterThanOrEqual(2)
    blockEventLoop(400)
    await waitFor(() => delaysMs.some(delayMs => delayMs > 200))
    expect(Math.max(...replicas.map(({ log }) => log.statistics.longestTickDelayMs))).toBeGreaterThan(200)
    await Promise.all(replicas.map(({ log }) => log.close()))
  })

  // Guards against a restart that applies, and a disk and a memory that hold, a hundred large commands, because snapshots
  // are due by the number of entries alone.
  it('saves a snapshot once the commands are large, and keeps few of them', async () => {
    const { replicas, leader } = await startReplicas(undefined, { snapshotEvery: 1_000, snapshotEveryBytes: 50_000 })
    for (let i = 0; i < 60; i++) await leader.log.propose(Buffer.alloc(10_000))
    const [{ log, fileSystem }] = replicas
    await log.confirmRead()
    await waitFor(() => log.listEntries(40, 1) === undefined)
    await log.close()
    const storage = await LogStorage.open({ fileSystem, directory: '/data/settings', instance: 'c1' })
    expect(storage.entries.length).toBeLessThan(20)
    await Promise.all(replicas.slice(1).map(replica => replica.log.close()))
  })
})
