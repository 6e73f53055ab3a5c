import type { z } from 'zod'
import { findSettingSchema } from '../../configuration/findSettingSchema'
import { loadSettingsFile } from '../../configuration/loadSettingsFile'
import { SettingsDocument } from '../../contract/SettingsDocument'

const ValidatedDocument = SettingsDocument.superRefine((document, context) => {
  for (const [path, value] of Object.entries(document)) {
    const schema = findSettingSchema(path)
    if (!schema) context.addIssue({ code: 'custom', path: [path], message: 'no setting has this path' })
    const result = value === null ? undefined : schema?.safeParse(value)
    for (const issue of result?.error?.issues ?? []) context.addIssue({ code: 'custom', path: [path, ...issue.path, ...listUnknownKeys(issue)], message: issue.message })
  }
})

function listUnknownKeys (issue: z.core.$ZodIssue): string[] {
  return issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : []
}

/**
 * @name loadDocument
 * @category Command
 * @summary Reads a settings document and validates each value.
 *
 * @description
 * Placeholders of hidden hashes are rejected, because a file that contains them can't be applied to another fleet.
 *
 * @param file - Path of the file, in JSON with comments.
 * @returns The settings by path.
 * @throws AppError `invalid-settings` with the file, line, path and expected value.
 *
 * @example
 * const document = loadDocument('sales.jsonc')
 */
export function loadDocument (file: string): SettingsDocument {
  return loadSettingsFile(file, ValidatedDocument)
}
