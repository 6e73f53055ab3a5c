/** Measures the bytes of heap and external buffers that the created value retains. Requires `--expose-gc`. */
export function measureHeap (create: () => unknown): number {
  const collect = globalThis.gc
  if (!collect) throw new Error('The garbage collector is not exposed; start Node.js with --expose-gc.')
  const readBytes = (): number => {
    collect()
    collect()
    const { heapUsed, external } = process.memoryUsage()
    return heapUsed + external
  }
  const before = readBytes()
  const retained = [create()]
  const bytes = readBytes() - before
  retained.pop()
  return bytes
}
