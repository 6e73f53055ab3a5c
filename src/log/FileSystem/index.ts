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
 * @summary The file operations that the log's storage needs, so that tests can inject faults.
 *
 * @description
 * What is written to a file is durable after `sync` of the file; a created, renamed or removed name after
 * `syncDirectory`. `readFile` resolves to undefined if there is no such file.
 *
 * @example
 * const fileSystem: FileSystem = new NodeFileSystem()
 */
export interface FileSystem {
  createDirectory: (path: string) => Promise<void>
  listFiles: (directory: string) => Promise<string[]>
  readFile: (path: string) => Promise<Uint8Array | undefined>
  openFile: (path: string) => Promise<WritableFile>
  rename: (from: string, to: string) => Promise<void>
  removeFile: (path: string) => Promise<void>
  syncDirectory: (directory: string) => Promise<void>
}
