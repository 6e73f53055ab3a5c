import { execFileSync } from 'node:child_process'
import { existsSync, mkdirSync, symlinkSync } from 'node:fs'
import { resolve } from 'node:path'

/** Bundles the platform's processes as they are at a commit, with the installed packages. Returns the bundle's path. */
export async function bundleCommit (commit) {
  const directory = resolve(`dist/base-${commit}`)
  const outfile = `${directory}/platform.cjs`
  if (existsSync(outfile)) return outfile
  mkdirSync(directory, { recursive: true })
  const archive = execFileSync('git', ['archive', commit], { maxBuffer: 1024 * 1024 * 1024 })
  execFileSync('tar', ['-x', '-C', directory], { input: archive })
  symlinkSync(resolve('node_modules'), `${directory}/node_modules`)
  const script = "import('./scripts/bundlePlatform.mjs').then(({ bundlePlatform }) => bundlePlatform('platform.cjs'))"
  execFileSync(process.execPath, ['--input-type=module', '-e', script], { cwd: directory })
  return outfile
}
