// Prints the processor time and peak memory use of a router from the platform bundle, before any traffic.
// Usage: node scripts/build-platform.mjs && node scripts/measure-weight.mjs
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout } from 'node:timers/promises'

const WAIT_MS = 2_000
const TICKS_PER_S = 100
const directory = mkdtempSync(join(tmpdir(), 'weight-'))
const file = join(directory, 'router.jsonc')
const settings = {
  instance: 'router-1',
  zone: 'a',
  front: '127.0.0.1:19083',
  ready: '127.0.0.1:19080',
  seeds: ['127.0.0.1:19085'],
  linkPort: 19074,
  list: '127.0.0.1:19099',
  clusterKey: 'papayalead-cluster-key',
  graceS: 5,
  retries: { ratio: 0.1, extra: 3, windowS: 10 }
}
writeFileSync(file, JSON.stringify(settings))
const child = spawn(process.execPath, ['target/papayalead.cjs', 'router'], { env: { ...process.env, PAPAYALEAD_SETTINGS: file }, stdio: 'ignore' })
try {
  await setTimeout(WAIT_MS)
  const [userTicks, systemTicks] = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1].split(' ').slice(11, 13)
  const peakKb = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))[1]
  console.log(`processor time ${((Number(userTicks) + Number(systemTicks)) / TICKS_PER_S).toFixed(2)} s, memory ${(peakKb / 1024).toFixed(0)} MB at most`)
} finally {
  child.kill('SIGKILL')
  rmSync(directory, { recursive: true })
}
