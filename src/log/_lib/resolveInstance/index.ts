/** Returns the instance of a replica id `<instance>:<disk incarnation>`. */
export function resolveInstance (id: string): string {
  return id.split(':')[0]
}
