import { mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const DIRECTORY = join(tmpdir(), 'papayalead-ports')
// Below the ephemeral port range of Linux (from 32768), so that no outgoing connection gets a reserved port.
const FIRST_PORT = 20_000
const LAST_PORT = 32_000

/** Reserves ports that no other test process takes until they are released. Each is reserved by a lock file with the owner's pid. */
export async function reservePorts (count: number): Promise<{ ports: number[], release: () => void }> {
  mkdirSync(DIRECTORY, { recursive: true })
  const ports: number[] = []
  let port = FIRST_PORT + (process.pid * 37) % (LAST_PORT - FIRST_PORT)
  for (let tried = 0; ports.length < count; tried++) {
    if (tried > LAST_PORT - FIRST_PORT) throw new Error('No free port was found in the range for tests.')
    port = port >= LAST_PORT ? FIRST_PORT : port + 1
    if (takeLock(port) && await isFree(port)) ports.push(port)
  }
  return { ports, release: () => ports.forEach(port => rmSync(join(DIRECTORY, String(port)), { force: true })) }
}

function takeLock (port: number): boolean {
  const file = join(DIRECTORY, String(port))
  try {
    writeFileSync(file, String(process.pid), { flag: 'wx' })
    return true
  } catch {
    if (isOwnerAlive(file)) return false
    rmSync(file, { force: true })
    return false
  }
}

function isOwnerAlive (file: string): boolean {
  try {
    process.kill(Number(readFileSync(file, 'utf8')), 0)
    return true
  } catch {
    return false
  }
}

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
