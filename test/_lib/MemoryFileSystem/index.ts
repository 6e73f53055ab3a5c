import { basename, dirname, join } from 'node:path'
import type { FileSystem } from '../../../src/log/FileSystem'

interface MemoryFile { content: Buffer, syncedBytes: number }

/**
 * A file system in memory. `crash` keeps what was synced, and of the rest a part: names that were not synced are gone,
 * and unsynced bytes at the end of a file are cut. `onOperation` is called before each operation and may throw.
 */
export class MemoryFileSystem implements FileSystem {
  onOperation: (name: string, path: string) => void = () => {}
  #names = new Map<string, MemoryFile>()
  #syncedNames = new Map<string, MemoryFile>()

  /** @param keptBytes - Bytes of the unsynced end of each file that survive. */
  crash (keptBytes: number): void {
    this.#names = new Map(this.#syncedNames)
    for (const file of this.#names.values()) {
      file.content = file.content.subarray(0, Math.min(file.content.length, file.syncedBytes + keptBytes))
      file.syncedBytes = file.content.length
    }
  }

  /** Changes the bytes of a file, as a faulty disk does. */
  damage (path: string, change: (content: Buffer) => Buffer): void {
    const file = this.#names.get(path)!
    file.content = change(Buffer.from(file.content))
  }

  async createDirectory (path: string): Promise<void> { this.onOperation('createDirectory', path) }

  async listFiles (directory: string): Promise<string[]> {
    return [...this.#names.keys()].filter(path => dirname(path) === directory).map(path => basename(path))
  }

  async readFile (path: string): Promise<Uint8Array | undefined> { return this.#names.get(path)?.content }

  async openFile (path: string): ReturnType<FileSystem['openFile']> {
    this.onOperation('openFile', path)
    const file = this.#names.get(path) ?? { content: Buffer.alloc(0), syncedBytes: 0 }
    this.#names.set(path, file)
    return {
      append: async bytes => {
        this.onOperation('append', path)
        file.content = Buffer.concat([file.content, bytes])
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
    this.#names.set(to, this.#names.get(from)!)
    this.#names.delete(from)
  }

  async removeFile (path: string): Promise<void> {
    this.onOperation('removeFile', path)
    this.#names.delete(path)
  }

  async syncDirectory (directory: string): Promise<void> {
    this.onOperation('syncDirectory', directory)
    for (const path of this.#syncedNames.keys()) if (dirname(path) === directory) this.#syncedNames.delete(path)
    for (const [path, file] of this.#names) if (dirname(path) === directory) this.#syncedNames.set(join(path), file)
  }
}
