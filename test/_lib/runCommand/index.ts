import { spawn } from 'node:child_process'
import { text } from 'node:stream/consumers'
import { join } from 'node:path'

interface CommandResult {
  stdout: string
  stderr: string
  exitCode: number
}

const BUNDLE = join(__dirname, '../../../dist/papayalead.cjs')

/** Runs a command of the bundle and resolves when the process has exited. */
export async function runCommand (args: string[], env: Record<string, string> = {}): Promise<CommandResult> {
  const child = spawn(process.execPath, [BUNDLE, ...args], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...env } })
  const exitCode = new Promise<number>(resolve => child.on('close', code => resolve(code ?? -1)))
  const [stdout, stderr] = await Promise.all([text(child.stdout), text(child.stderr)])
  return { stdout, stderr, exitCode: await exitCode }
}
