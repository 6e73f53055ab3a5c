import { basename, dirname, join } from 'node:path'
import type { FileSystem } from '../../../src/log/FileSystem'

interface MemoryFile { content: Buffer, syncedBytes: number }

/**
 * In-memory file system that simulates crashes. `crash` keeps synced content and drops changes to directory entries
 * that were not synced; of the unsynced bytes at the end of a file, only a given number survives.
 */
export class MemoryFileSystem implements FileSystem {
  /** Called before each operation that may change something. May throw to inject a fault. */
  onOperation: (name: string, path: string) => void = () => {}
  /** Bytes that still fit on the disk. A write of more writes these, and then fails. */
  freeBytes = Infinity
  #directoryEntries = new Map<string, MemoryFile>()
  #syncedDirectoryEntries = new Map<string, MemoryFile>()

  /** @param keptBytes - Number of unsynced bytes at the end of each file that survive. */
  crash (keptBytes: number): void {
    this.#directoryEntries = new Map(this.#syncedDirectoryEntries)
    for (const file of this.#directoryEntries.values()) {
      file.content = file.content.subarray(0, Math.min(file.content.length, file.syncedBytes + keptBytes))
      file.syncedBytes = file.content.length
    }
  }

  /** Corrupts the content of a file, as a faulty disk does. */
  damage (path: string, change: (content: Buffer) => Buffer): void {
    const file = this.#directoryEntries.get(path)!
    file.content = change(Buffer.from(file.content))
  }

  async createDirectory (path: string): Promise<void> { this.onOperation('createDirectory', path) }

  async listFiles (directory: string): Promise<string[]> {
    return [...this.#directoryEntries.keys()].filter(path => dirname(path) === directory).map(path => basename(path))
  }

  async readFile (path: string): Promise<Uint8Array | undefined> { return this.#directoryEntries.get(path)?.content }

  async openFile (path: string): ReturnType<FileSystem['openFile']> {
    this.onOperation('openFile', path)
    const file = this.#directoryEntries.get(path) ?? { content: Buffer.alloc(0), syncedBytes: 0 }
    this.#directoryEntries.set(path, file)
    return {
      append: async bytes => {
        this.onOperation('append', path)
        const fitting = bytes.subarray(0, Math.min(bytes.length, this.freeBytes))
        this.freeBytes -= fitting.length
        file.content = Buffer.concat([file.content, fitting])
        if (fitting.length < bytes.length) throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' })
      },
      truncate: async length => {
        this.onOperation('truncate', path)
        file.content = file.content.subarray(0, length)
        file.syncedBytes = Math.min(file.syncedBytes, length)
      },
      sync: async () => {
        this.onOperation('sync', path)
        file.syncedBytes = file.content.length
      },
      close: async () => {}
    }
  }

  async rename (from: string, to: string): Promise<void> {
    this.onOperation('rename', to)
    this.#directoryEntries.set(to, this.#directoryEntries.get(from)!)
    this.#directoryEntries.delete(from)
  }

  async removeFile (path: string): Promise<void> {
    this.onOperation('removeFile', path)
    this.#directoryEntries.delete(path)
  }

  async syncDirectory (directory: string): Promise<void> {
    this.onOperation('syncDirectory', directory)
    for (const path of this.#syncedDirectoryEntries.keys()) if (dirname(path) === directory) this.#syncedDirectoryEntries.delete(path)
    for (const [path, file] of this.#directoryEntries) if (dirname(path) === directory) this.#syncedDirectoryEntries.set(join(path), file)
  }
}
