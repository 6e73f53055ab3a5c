import { readFileSync } from 'node:fs'

/** Clock ticks per second in /proc, a constant of the Linux kernel interface (USER_HZ). */
const TICKS_PER_SECOND = 100

/** Reads from /proc the CPU time of all threads of a process in seconds and its resident memory in bytes. */
export function readProcessUsage (pid: number): { cpuS: number, rssBytes: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const rssKib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
  return { cpuS: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND, rssBytes: rssKib * 1024 }
}
