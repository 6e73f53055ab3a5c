import { setTimeout as wait } from 'node:timers/promises'
import type { AppError } from '../src/contract/AppError'
import { LogStorage } from '../src/log/LogStorage'
import { LogTask } from '../src/log/LogTask'
import type { StateMachine } from '../src/log/StateMachine'
import { MemoryFileSystem } from './_lib/MemoryFileSystem'
import { waitFor } from './_lib/waitFor'

const NAMES = ['c1', 'c2', 'c3']
const RESTART_MS = 100
const FULL_MS = 700
/** Time between the end of one full disk and the next: the replica starts again and catches up. */
const PAUSE_MS = 1_500
const PROPOSE_INTERVAL_MS = 20
const SNAPSHOT_EVERY = 10

class ListMachine implements StateMachine {
  offset = 0
  commands: unknown[] = []
  apply (command: unknown, offset: number): unknown {
    this.offset = offset
    if (command !== null) this.commands.push(command)
    return command
  }

  getState (): unknown { return { offset: this.offset, commands: this.commands } }
  install (state: unknown): void { Object.assign(this, state) }
}

/** Replicas that start again after they have ended, as the processes on the platform do. */
class RestartedReplicas {
  readonly disks = new Map(NAMES.map(name => [name, new MemoryFileSystem()]))
  readonly running = new Map<string, { log: LogTask, machine: ListMachine }>()
  readonly errors: AppError[] = []
  #isClosed = false

  get leader (): string | undefined {
    return [...this.running].find(([, { log }]) => log.getStatus().role === 'leader')?.[0]
  }

  async start (name: string): Promise<void> {
    if (this.#isClosed) return
    const machine = new ListMachine()
    const handleError = (error: AppError): void => {
      this.errors.push(error)
      this.running.delete(name)
      setTimeout(() => this.start(name), RESTART_MS)
    }
    try {
      const storage = await LogStorage.open({ fileSystem: this.disks.get(name)!, directory: '/data/settings', instance: name })
      const log = new LogTask({
        storage,
        machine,
        transport: {
          send: message => setImmediate(() => this.running.get(message.to.split(':')[0])?.log.handleMessage(message)),
          request: async (instance, type, body) => {
            const peer = this.running.get(instance)
            if (!peer) throw new Error('The connection was refused.')
            return await (type === 'propose' ? peer.log.proposeHere(body, { timeoutMs: 500 }) : peer.log.confirmReadHere({ timeoutMs: 500 }))
          }
        },
        peers: NAMES.filter(other => other !== name),
        snapshotEvery: SNAPSHOT_EVERY,
        onFatal: handleError
      })
      this.running.set(name, { log, machine })
      log.start()
    } catch (error) {
      handleError(error as AppError)
    }
  }

  async close (): Promise<void> {
    this.#isClosed = true
    for (const { log } of this.running.values()) await log.close()
  }
}

describe('three replicas whose disks are full for a time, one after another', () => {
  // Guards against a replica that stays in a failed state after its disk has room again: with a second one, changes would
  // be refused until someone restarts them.
  it.each([
    ['before any byte is written', 0],
    ['in the middle of a record', 30],
    ['after several records', 200],
    ['in the middle of a snapshot', 1_000]
  ])('accept changes again, and keep those that were accepted, when disks fill up %s', async (_name, freeBytes) => {
    const replicas = new RestartedReplicas()
    await Promise.all(NAMES.map(name => replicas.start(name)))
    await waitFor('a leader', () => replicas.leader)
    const accepted: string[] = []
    const state = { isProposing: true }
    const proposing = Promise.all(NAMES.map(async name => {
      for (let i = 0; state.isProposing; i++) {
        const command = `${name}-${i}`
        await replicas.running.get(name)?.log.propose(command, { timeoutMs: 900 }).then(() => accepted.push(command), () => {})
        await wait(PROPOSE_INTERVAL_MS)
      }
    }))
    const filled = new Set<string>()
    // A leader, a follower, the third replica, and a leader again.
    for (const choose of [() => replicas.leader, () => NAMES.find(name => name !== replicas.leader && !filled.has(name)), () => NAMES.find(name => !filled.has(name)), () => replicas.leader]) {
      const name = await waitFor('a leader', () => replicas.leader && choose()) ?? NAMES[0]
      filled.add(name)
      const errors = replicas.errors.length
      const disk = replicas.disks.get(name)!
      disk.freeBytes = freeBytes
      await wait(FULL_MS)
      await waitFor('the replica to notice its full disk', () => replicas.errors.length > errors)
      disk.freeBytes = Infinity
      await wait(PAUSE_MS)
    }
    state.isProposing = false
    await proposing
    expect(filled.size).toBe(NAMES.length)
    await waitFor('all replicas to run', () => replicas.running.size === NAMES.length)
    for (const { log } of replicas.running.values()) expect(await log.propose('last')).toBe('last')
    for (const { log, machine } of replicas.running.values()) {
      await log.confirmRead()
      expect(accepted.filter(command => !machine.commands.includes(command))).toEqual([])
    }
    expect(accepted.length).toBeGreaterThan(SNAPSHOT_EVERY)
    expect(new Set(replicas.errors.map(({ kind }) => kind))).toEqual(new Set(['disk-failed']))
    await replicas.close()
  })
})
