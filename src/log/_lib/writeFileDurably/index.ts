import { dirname } from 'node:path'
import type { FileSystem } from '../../FileSystem'

const TEMPORARY_SUFFIX = '.tmp'

/**
 * Replaces a file atomically: after a crash it has either the old or the new content. Creates and syncs a temporary
 * file, renames it, then syncs the directory.
 */
export async function writeFileDurably (fileSystem: FileSystem, path: string, bytes: Uint8Array): Promise<void> {
  const temporaryPath = path + TEMPORARY_SUFFIX
  await fileSystem.removeFile(temporaryPath)
  const file = await fileSystem.openFile(temporaryPath)
  try {
    await file.append(bytes)
    await file.sync()
  } finally {
    await file.close()
  }
  await fileSystem.rename(temporaryPath, path)
  await fileSystem.syncDirectory(dirname(path))
}
