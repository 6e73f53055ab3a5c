import { join } from 'node:path'
import { AppError } from '../../../contract/AppError'
import { ConfirmReadRequest } from '../../../contract/ConfirmReadRequest'
import type { ListenAddress } from '../../../contract/ListenAddress'
import type { LogGroup } from '../../../contract/LogGroup'
import type { PeerAddress } from '../../../contract/PeerAddress'
import { ProposeRequest } from '../../../contract/ProposeRequest'
import { ReplicateRequest } from '../../../contract/ReplicateRequest'
import type { LinkOptions } from '../../../link/LinkOptions'
import type { MessageHandler } from '../../../link/MessageHandler'
import type { FileSystem } from '../../../log/FileSystem'
import { LogStorage } from '../../../log/LogStorage'
import { LogTask } from '../../../log/LogTask'
import type { LogStatus } from '../../../log/LogStatus'
import { NodeFileSystem } from '../../../log/NodeFileSystem'
import type { StateMachine } from '../../../log/StateMachine'
import type { ComponentLogger } from '../../../telemetry/ComponentLogger'
import { ReplicaLinks } from '../ReplicaLinks'
import { SnapshotParts } from '../SnapshotParts'

/** Batches that take longer to apply are logged. */
const SLOW_APPLY_MS = 20

interface ControlLogsOptions {
  settings: {
    instance: string
    dataDir: string
    /** Instances that form the cluster initially. */
    replicas: readonly PeerAddress[]
    snapshotEvery: number
    mayForm?: boolean
    maxVoters?: number
  }
  /** Address of an instance that joined the cluster later. */
  findAddress?: (instance: string) => ListenAddress | undefined
  /** State machine of each log group that this process runs. */
  stateMachines: Partial<Record<LogGroup, StateMachine>>
  logger: ComponentLogger
  /** Called once when the disk fails or a log is corrupted; the process must then exit. */
  onFatal: (error: AppError) => void
  fileSystem?: FileSystem
  onRoleChanged?: (role: string) => void
}

/** The replicas of all log groups in a control process. */
export class ControlLogs {
  readonly #options: ControlLogsOptions
  readonly #storages: Map<LogGroup, LogStorage>
  readonly #tasks = new Map<LogGroup, LogTask>()
  readonly #snapshotParts = new Map<string, SnapshotParts>()
  #links: ReplicaLinks | undefined

  private constructor (options: ControlLogsOptions, storages: Map<LogGroup, LogStorage>) {
    this.#options = options
    this.#storages = storages
  }

  /**
   * Loads the logs of all groups from disk.
   *
   * @throws AppError `log-corrupted` or `disk-failed`.
   */
  static async open (options: ControlLogsOptions): Promise<ControlLogs> {
    const { settings, stateMachines } = options
    const fileSystem = options.fileSystem ?? new NodeFileSystem()
    const storages = new Map<LogGroup, LogStorage>()
    for (const group of Object.keys(stateMachines) as LogGroup[]) {
      const directory = join(settings.dataDir, group)
      storages.set(group, await LogStorage.open({ fileSystem, directory, instance: settings.instance }))
    }
    return new ControlLogs(options, storages)
  }

  /** Message handlers for the link server of the process. */
  get handlers (): Map<string, MessageHandler> {
    return new Map<string, MessageHandler>([
      ['ping', () => 'pong'],
      ['propose', body => {
        const { group, command } = ProposeRequest.parse(body)
        return this.getLog(group).proposeHere(command)
      }],
      ['confirmRead', body => this.getLog(ConfirmReadRequest.parse(body).group).confirmReadHere()],
      ['replicate', (body, link) => this.#handleReplicate(ReplicateRequest.parse(body), link.peer.instance)],
      ['getLogStatus', () => this.listStatuses()]
    ])
  }

  /** Connects to the other replicas and starts the logs of all groups. */
  start (linkOptions: Pick<LinkOptions, 'identity' | 'clusterKey'>): void {
    const { settings, stateMachines, logger, onFatal } = this.#options
    const peers = settings.replicas.filter(({ instance }) => instance !== settings.instance)
    this.#links = new ReplicaLinks(peers, { ...linkOptions, handlers: new Map() }, this.#options.findAddress)
    for (const [group, storage] of this.#storages) {
      const task = new LogTask({
        storage,
        machine: stateMachines[group]!,
        transport: this.#links.createTransport(group),
        peers: peers.map(({ instance }) => instance),
        snapshotEvery: settings.snapshotEvery,
        mayForm: settings.mayForm,
        maxVoters: settings.maxVoters,
        onFatal,
        onRoleChanged: change => {
          logger.info('The role changed.', { group, ...change })
          this.#options.onRoleChanged?.(change.role)
        },
        onApplied: ({ entries, bytes, durationMs }) => {
          if (durationMs > SLOW_APPLY_MS) logger.info('Committed entries were applied.', { group, entries, bytes, durationMs: Math.round(durationMs) })
        },
        onLateTick: delayMs => logger.warn('This replica was busy or paused; other replicas may have elected a leader.', { group, delayMs: Math.round(delayMs) })
      })
      this.#tasks.set(group, task)
      task.start()
    }
  }

  /**
   * @throws AppError `control-unavailable` if this process has no replica of the group.
   */
  getLog (group: LogGroup): LogTask {
    const task = this.#tasks.get(group)
    if (!task) throw new AppError('control-unavailable', `The log group ${group} does not run here.`)
    return task
  }

  /** State of this process's replica of each group. */
  listStatuses (): Array<LogStatus & { group: LogGroup }> {
    return [...this.#tasks].map(([group, task]) => ({ group, ...task.getStatus() }))
  }

  async close (): Promise<void> {
    this.#links?.close()
    for (const task of this.#tasks.values()) await task.close()
  }

  #handleReplicate (request: ReplicateRequest, peer: string): void {
    const key = `${request.group} ${peer}`
    const parts = this.#snapshotParts.get(key) ?? new SnapshotParts()
    this.#snapshotParts.set(key, parts)
    const message = parts.accept(request)
    if (!message) return
    // Decoded commands are views of the received chunk and would keep all of its memory in use; copies do not.
    if (message.type === 'append') message.entries = message.entries.map(entry => ({ ...entry, command: entry.command && Uint8Array.from(entry.command) }))
    this.#tasks.get(request.group)?.handleMessage(message)
  }
}
