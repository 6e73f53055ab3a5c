interface ChangeResult {
  revision: number
  offset: number
  /** Routers on which the change is in effect; present if the command waited for them. */
  applied?: string[]
  /** Live routers on which the change is not yet in effect; present if the command waited for them. */
  behind?: string[]
}

/**
 * @name renderChangeResult
 * @category Command
 * @summary Formats the result of a change as text.
 *
 * @param result - Response of the operator API.
 * @returns The text.
 *
 * @example
 * renderChangeResult({ revision: 4, offset: 17 }) // 'Accepted at revision 4, offset 17.'
 */
export function renderChangeResult ({ revision, offset, applied, behind }: ChangeResult): string {
  const accepted = `Accepted at revision ${revision}, offset ${offset}.`
  if (!applied || !behind) return accepted
  return `${accepted} In effect on ${applied.length} of ${applied.length + behind.length} live routers.`
}
