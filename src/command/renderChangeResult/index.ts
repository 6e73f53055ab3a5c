interface ChangeResult {
  revision: number
  offset: number
  /** Routers where the change is in effect; present if the command waited. */
  applied?: string[]
  behind?: string[]
}

/**
 * @name renderChangeResult
 * @category Command
 * @summary The result of a change in a sentence.
 *
 * @param result - Response of the operator API.
 * @returns The sentence.
 *
 * @example
 * renderChangeResult({ revision: 4, offset: 17 }) // 'Accepted at revision 4, offset 17.'
 */
export function renderChangeResult ({ revision, offset, applied, behind }: ChangeResult): string {
  const accepted = `Accepted at revision ${revision}, offset ${offset}.`
  if (!applied || !behind) return accepted
  return `${accepted} In effect on ${applied.length} of ${applied.length + behind.length} live routers.`
}
