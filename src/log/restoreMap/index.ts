/**
 * @name restoreMap
 * @category Log
 * @summary Replaces the contents of a map with the entries of a snapshot.
 *
 * @param map - The map to change.
 * @param entries - Keys and values, in the iteration order that the map gets.
 *
 * @example
 * restoreMap(new Map([['a', 1]]), [['b', 2]])
 */
export function restoreMap<T> (map: Map<string, T>, entries: Array<[string, T]>): void {
  map.clear()
  for (const [key, value] of entries) map.set(key, value)
}
