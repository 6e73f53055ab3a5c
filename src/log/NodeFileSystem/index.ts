import { mkdir, open, readdir, readFile, rename, rm } from 'node:fs/promises'
import type { FileSystem } from '../FileSystem'

/**
 * @name NodeFileSystem
 * @category Log
 * @summary FileSystem that uses the files of the operating system through node:fs.
 *
 * @example
 * const fileSystem = new NodeFileSystem()
 * await fileSystem.createDirectory('./files')
 * await fileSystem.listFiles('./files') // []
 */
export class NodeFileSystem implements FileSystem {
  async createDirectory (path: string): Promise<void> {
    await mkdir(path, { recursive: true })
  }

  listFiles (directory: string): Promise<string[]> {
    return readdir(directory)
  }

  async readFile (path: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(path)
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined
      throw error
    }
  }

  async openFile (path: string): ReturnType<FileSystem['openFile']> {
    const handle = await open(path, 'a')
    return {
      append: bytes => handle.appendFile(bytes),
      truncate: length => handle.truncate(length),
      sync: () => handle.datasync(),
      close: () => handle.close()
    }
  }

  rename (from: string, to: string): Promise<void> {
    return rename(from, to)
  }

  removeFile (path: string): Promise<void> {
    return rm(path, { force: true })
  }

  async syncDirectory (directory: string): Promise<void> {
    const handle = await open(directory, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }
}
