/** Bytes of heap and buffers that the created value keeps. Needs `--expose-gc`. */
export function measureHeap (create: () => unknown): number {
  const collect = globalThis.gc
  if (!collect) throw new Error('Start node with --expose-gc.')
  const readBytes = (): number => {
    collect()
    collect()
    const { heapUsed, external } = process.memoryUsage()
    return heapUsed + external
  }
  const before = readBytes()
  const kept = [create()]
  const bytes = readBytes() - before
  kept.pop()
  return bytes
}
