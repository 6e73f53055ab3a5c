import { cpSync, mkdtempSync, rmSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SettingsTree } from '../../../src/configuration/SettingsTree'
import { FetchLogReply } from '../../../src/contract/FetchLogReply'
import type { LogMembers } from '../../../src/contract/LogMembers'
import type { SettingsChange } from '../../../src/contract/SettingsChange'
import type { SettingsChangeResult } from '../../../src/contract/SettingsChangeResult'
import { LinkClient } from '../../../src/link/LinkClient'
import { LogClient } from '../../../src/log/LogClient'
import type { LogStatus } from '../../../src/log/LogStatus'
import { LogStorage } from '../../../src/log/LogStorage'
import { NodeFileSystem } from '../../../src/log/NodeFileSystem'
import { startProcess } from '../startProcess'

const CLUSTER_KEY = 'cluster-key-for-tests'

async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}

/** Control processes with a data directory each, and a client that proposes changes to them. */
export class ControlCluster {
  readonly directory = mkdtempSync(join(tmpdir(), 'papayalead-log-'))
  readonly processes: Array<Awaited<ReturnType<typeof startProcess>> | undefined> = []
  readonly links: LinkClient[] = []
  readonly client: LogClient
  readonly #ports: number[]
  readonly #snapshotEvery: number

  private constructor (ports: number[], snapshotEvery: number) {
    this.#snapshotEvery = snapshotEvery
    this.#ports = ports
    const identity = { instance: 'test', incarnation: 'test', zone: 'z1', role: 'operator' as const }
    this.links = ports.map(port => new LinkClient({ host: '127.0.0.1', port }, { identity, clusterKey: CLUSTER_KEY, handlers: new Map() }))
    this.client = new LogClient(this.links)
  }

  static async start (size: number, options: { snapshotEvery: number } = { snapshotEvery: 200 }): Promise<ControlCluster> {
    const ports = await Promise.all(Array.from({ length: size }, findFreePort))
    const cluster = new ControlCluster(ports, options.snapshotEvery)
    await Promise.all(ports.map((_port, index) => cluster.startReplica(index)))
    return cluster
  }

  async startReplica (index: number): Promise<void> {
    const addresses = this.#ports.map((port, i) => ({ instance: `c${i + 1}`, zone: 'z1', host: '127.0.0.1', port }))
    const { zone, instance, ...link } = addresses[index]
    this.processes[index] = await startProcess(['control'], {
      instance,
      zone,
      link,
      http: { host: '127.0.0.1', port: 0 },
      clusterKey: CLUSTER_KEY,
      replicas: addresses,
      dataDir: this.getDataDir(index),
      snapshotEvery: this.#snapshotEvery,
      logLevel: 'error'
    })
  }

  getDataDir (index: number): string {
    return join(this.directory, `c${index + 1}`)
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  async kill (index: number): Promise<void> {
    this.processes[index]?.signal('SIGKILL')
    await this.processes[index]?.exitCode
    this.processes[index] = undefined
  }

  /** Kills the process and deletes its data directory. */
  async loseDisk (index: number): Promise<void> {
    await this.kill(index)
    rmSync(this.getDataDir(index), { recursive: true })
  }

  createProposal (changeId: string, options: { expectedRevision?: number } = {}): { group: 'settings', command: SettingsChange } {
    const operations = [{ path: `/teams/t/accounts/${changeId}`, value: { keyHashes: [], services: ['*'] } }]
    return { group: 'settings', command: { changeId, subtree: '/teams/t', ...options, operations, operator: 'test', atMs: 0 } }
  }

  request (index: number, type: string, body: unknown): Promise<unknown> {
    return this.links[index].request(type, body, { timeoutMs: 5_000 })
  }

  /** Proposes a change, after a failure again with the same id, until its result is known. */
  async proposeChange (changeId: string, options: { expectedRevision?: number } = {}): Promise<SettingsChangeResult> {
    const { command } = this.createProposal(changeId, options)
    for (;;) {
      try {
        return await this.client.propose('settings', command, { timeoutMs: 2_000 }) as SettingsChangeResult
      } catch {}
    }
  }

  async getStatus (index: number): Promise<LogStatus | undefined> {
    try {
      const statuses = await this.links[index].request('getLogStatus', null, { timeoutMs: 500 }) as Array<LogStatus & { group: string }>
      return statuses.find(({ group }) => group === 'settings')
    } catch {
      return undefined
    }
  }

  /** Reads the membership changes from the log entries on a replica's disk, in log order. */
  async loadMembershipChanges (index: number): Promise<LogMembers[]> {
    const directory = mkdtempSync(join(this.directory, 'copy-'))
    cpSync(join(this.getDataDir(index), 'settings'), directory, { recursive: true })
    const { entries } = await LogStorage.open({ fileSystem: new NodeFileSystem(), directory, instance: `c${index + 1}` })
    return entries.flatMap(({ members }) => members ?? [])
  }

  /** Waits until a majority of the replicas follows one leader, and returns the leader's index. */
  async waitForLeader (): Promise<number> {
    let leader = -1
    await this.waitFor(async () => {
      const statuses = await Promise.all(this.links.map((_link, index) => this.getStatus(index)))
      leader = statuses.findIndex(status => status?.role === 'leader' && statuses.filter(other => other?.leader === status.instance && other.term === status.term).length > statuses.length / 2)
      return leader !== -1
    })
    return leader
  }

  /** Fetches the settings from one replica as an observer does. */
  async fetchSettings (index: number): Promise<SettingsTree> {
    const tree = new SettingsTree()
    for (;;) {
      const reply = FetchLogReply.parse(await this.links[index].request('fetchLog', { offset: tree.offset, waitMs: 0, maxEntries: 1000 }))
      if (reply.snapshot) tree.install(reply.snapshot.state)
      for (const { offset, command } of reply.entries) tree.apply(command, offset)
      if (tree.offset >= reply.commitOffset) return tree
    }
  }

  /** Waits until the leader reports every replica as a member without replication lag. */
  async waitForReplication (): Promise<void> {
    await this.waitFor(async () => {
      const status = await this.getStatus(await this.waitForLeader())
      return status !== undefined && status.members.length === this.links.length && status.members.every(({ lag }) => lag === 0)
    })
  }

  /** Whether any replica is the leader and confirms a read. */
  async tryConfirmRead (): Promise<boolean> {
    const reads = this.links.map(link => link.request('confirmRead', { group: 'settings' }, { timeoutMs: 500 }))
    return (await Promise.allSettled(reads)).some(({ status }) => status === 'fulfilled')
  }

  async waitFor (condition: () => Promise<boolean>, intervalMs = 20): Promise<void> {
    while (!await condition()) await new Promise(resolve => setTimeout(resolve, intervalMs))
  }

  async close (): Promise<void> {
    for (const link of this.links) link.close()
    for (const index of this.processes.keys()) {
      this.processes[index]?.signal('SIGCONT')
      await this.kill(index)
    }
    rmSync(this.directory, { recursive: true })
  }
}
