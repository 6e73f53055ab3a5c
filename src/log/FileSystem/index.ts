interface WritableFile {
  /** Writes at the end of the file. */
  append: (bytes: Uint8Array) => Promise<void>
  truncate: (length: number) => Promise<void>
  sync: () => Promise<void>
  close: () => Promise<void>
}

/**
 * @name FileSystem
 * @category Log
 * @summary File operations that the log's storage uses. Tests pass an implementation that injects faults.
 *
 * @description
 * The content of a file is durable after `sync` of the file. The creation, renaming or removal of a file is durable
 * after `syncDirectory` of its directory.
 *
 * @example
 * const fileSystem: FileSystem = new NodeFileSystem()
 */
export interface FileSystem {
  createDirectory: (path: string) => Promise<void>
  listFiles: (directory: string) => Promise<string[]>
  /** Resolves to undefined if there is no such file. */
  readFile: (path: string) => Promise<Uint8Array | undefined>
  openFile: (path: string) => Promise<WritableFile>
  rename: (from: string, to: string) => Promise<void>
  removeFile: (path: string) => Promise<void>
  syncDirectory: (directory: string) => Promise<void>
}
