import type { PromptPart } from '../../../../contract/PromptPart'

/** Lists the ids of the parts that other prompts may share: all but the last, which belongs to the request itself. */
export function listSharedParts (parts: readonly PromptPart[]): string[] {
  return [...new Set(parts.slice(0, -1).map(({ id }) => id))]
}
