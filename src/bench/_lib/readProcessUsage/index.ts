import { readFileSync } from 'node:fs'

/** Clock ticks in a second as /proc reports them; fixed by the kernel interface on Linux. */
const TICKS_PER_SECOND = 100

/** CPU time of all threads in seconds and resident memory in bytes of a process, from /proc. */
export function readProcessUsage (pid: number): { cpuS: number, rssBytes: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const rssKib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
  return { cpuS: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND, rssBytes: rssKib * 1024 }
}
