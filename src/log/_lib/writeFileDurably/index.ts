import { dirname } from 'node:path'
import type { FileSystem } from '../../FileSystem'

const TEMPORARY_SUFFIX = '.tmp'

/** Replaces a file so that after a crash either the old or the new content is there: create, sync, rename, sync the directory. */
export async function writeFileDurably (fileSystem: FileSystem, path: string, bytes: Uint8Array): Promise<void> {
  const temporary = path + TEMPORARY_SUFFIX
  await fileSystem.removeFile(temporary)
  const file = await fileSystem.openFile(temporary)
  try {
    await file.append(bytes)
    await file.sync()
  } finally {
    await file.close()
  }
  await fileSystem.rename(temporary, path)
  await fileSystem.syncDirectory(dirname(path))
}
