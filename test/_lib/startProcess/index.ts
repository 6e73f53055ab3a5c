import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, mkdtempSync, openSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'

interface Address { host: string, port: number }

interface StartedProcess {
  pid: number
  /** Addresses that the process listens on, which it prints as its first line. */
  ready: { http: Address, link: Address }
  exitCode: Promise<number | null>
  signal: (name: NodeJS.Signals) => void
  stop: () => Promise<void>
}

/** Operator token that control processes accept and commands send in tests, unless a test sets its own. */
const OPERATOR_TOKEN = 'operator-token-for-tests'
const BUNDLE = join(process.cwd(), 'dist/papayalead.cjs')
const STOP_TIMEOUT_MS = 20_000
// Loaded by --require, because with --import Node.js loads the bundle by its ES module loader, which takes 0.3 s more.
const EXIT_WITH_PARENT = join(process.cwd(), 'test/_lib/startProcess/exitWithParent.cjs')

interface StartProcessOptions {
  nodeFlags?: string[]
  /** File that the process's standard error is appended to. Default: the test's standard error. */
  logFile?: string
}

/** Starts a process of the bundle with a temporary settings file, and waits for its first line of output. */
export async function startProcess (args: string[], settings?: object, options: StartProcessOptions = {}): Promise<StartedProcess> {
  const { nodeFlags = [], logFile } = options
  const stderr = logFile ? openSync(logFile, 'a') : 'inherit'
  const defaults = args[0] === 'control' ? { bootstrapToken: OPERATOR_TOKEN } : {}
  const configFlags = settings ? ['--config', writeSettings({ ...defaults, ...settings })] : []
  const child = spawn(process.execPath, ['--require', EXIT_WITH_PARENT, ...nodeFlags, BUNDLE, ...args, ...configFlags], {
    stdio: ['pipe', 'pipe', stderr],
    env: { PAPAYALEAD_TOKEN: OPERATOR_TOKEN, ...process.env }
  })
  if (typeof stderr === 'number') closeSync(stderr)
  child.stdin!.on('error', () => {})
  const exitCode = once(child, 'exit').then(([code]) => code as number | null)
  const [line] = await Promise.race([
    once(createInterface(child.stdout!), 'line'),
    exitCode.then(code => { throw new Error(`${args[0]} exited with code ${code} before it was ready`) })
  ])
  const stop = async (): Promise<void> => {
    child.kill('SIGCONT')
    child.kill('SIGTERM')
    const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS)
    await exitCode
    clearTimeout(timer)
  }
  return { pid: child.pid!, ready: JSON.parse(line), exitCode, signal: name => { child.kill(name) }, stop }
}

function writeSettings (settings: object): string {
  const file = join(mkdtempSync(join(tmpdir(), 'papayalead-')), 'settings.jsonc')
  writeFileSync(file, JSON.stringify(settings))
  return file
}
