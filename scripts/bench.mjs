// Bundles and runs the experiments: `npm run bench -- [name …] [--seed=N] [--base=COMMIT]`. The processes that they
// start run dist/papayalead.cjs or dist/platform.cjs. With a base, the experiment `router` compares with that commit.
import { execFileSync, spawnSync } from 'node:child_process'
import { bundle } from './bundle.mjs'
import { bundlePlatform } from './bundlePlatform.mjs'
import { bundleCommit } from './bundleCommit.mjs'

const commit = execFileSync('git', ['describe', '--always', '--dirty', '--abbrev=9']).toString().trim()
await bundle('dist/papayalead.cjs')
await bundlePlatform('dist/platform.cjs')
await bundle('dist/bench.cjs', 'src/bench/main.ts')
const base = process.argv.find(argument => argument.startsWith('--base='))?.slice('--base='.length)
const baseBundle = base === undefined ? {} : { PAPAYALEAD_BASE_BUNDLE: await bundleCommit(base) }
const run = spawnSync(process.execPath, ['--expose-gc', 'dist/bench.cjs', ...process.argv.slice(2)], { stdio: 'inherit', env: { ...process.env, PAPAYALEAD_COMMIT: commit, ...baseBundle } })
process.exit(run.status ?? 1)
