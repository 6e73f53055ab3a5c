import { readFileSync, rmSync, statSync } from 'node:fs'
import { waitFor } from '../../../../test/_lib/waitFor'

interface MemoryProbe {
  /** Node.js flags for the observed process. */
  nodeFlags: string[]
  /** Requests a report. Returns the used heap after a full garbage collection and the resident memory, in bytes. */
  measure: (signal: (name: NodeJS.Signals) => void) => Promise<{ heapBytes: number, rssBytes: number }>
}

/**
 * Creates flags that preload code into another process. On SIGUSR2, that code collects garbage and writes the memory
 * usage of the process to the file.
 */
export function createMemoryProbe (file: string): MemoryProbe {
  const code = `import{writeFileSync,renameSync}from"node:fs";process.on("SIGUSR2",()=>{gc();gc();writeFileSync("${file}.new",JSON.stringify(process.memoryUsage()));renameSync("${file}.new","${file}")})`
  return {
    nodeFlags: ['--expose-gc', '--import', `data:text/javascript,${encodeURIComponent(code)}`],
    measure: async signal => {
      rmSync(file, { force: true })
      signal('SIGUSR2')
      await waitFor('the memory report', () => statSync(file).size > 0)
      const { heapUsed, rss } = JSON.parse(readFileSync(file, 'utf8'))
      return { heapBytes: heapUsed, rssBytes: rss }
    }
  }
}
