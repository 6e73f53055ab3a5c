import { readFileSync } from 'node:fs'
import { findNodeAtLocation, parse, parseTree, printParseErrorCode, type ParseError } from 'jsonc-parser'
import type { z } from 'zod'
import { AppError } from '../../contract/AppError'

/**
 * @name loadSettingsFile
 * @category Configuration
 * @summary Reads and validates a settings file in JSON with comments.
 *
 * @param file - Path of the file.
 * @param schema - Schema of the file content.
 * @returns The validated settings.
 * @throws AppError `invalid-settings` if the file cannot be read, or with file, line, path and expected value if its
 * content is invalid.
 *
 * @example
 * const settings = loadSettingsFile('router.jsonc', RouterSettings)
 */
export function loadSettingsFile<T> (file: string, schema: z.ZodType<T>): T {
  const text = readFile(file)
  const errors: ParseError[] = []
  const value: unknown = parse(text, errors, { allowTrailingComma: true })
  if (errors.length > 0) throw createError(file, countLine(text, errors[0].offset), '', printParseErrorCode(errors[0].error))
  const result = schema.safeParse(value)
  if (result.success) return result.data
  const [issue] = result.error.issues
  const unknownKeys = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : []
  const path = [...issue.path, ...unknownKeys].filter(part => typeof part !== 'symbol')
  const line = countLine(text, findOffset(text, path))
  throw createError(file, line, path.join('.'), issue.message)
}

function readFile (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (cause) {
    throw new AppError('invalid-settings', `${file}: the file can't be read.`, { cause })
  }
}

function findOffset (text: string, path: Array<string | number>): number {
  const root = parseTree(text)
  if (!root) return 0
  for (let length = path.length; length >= 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length))
    if (node) return node.offset
  }
  return 0
}

function countLine (text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length
}

function createError (file: string, line: number, path: string, expected: string): AppError {
  return new AppError('invalid-settings', `${file}:${line}: ${path || 'file'}: ${expected}`, { details: { file, line, path, expected } })
}
