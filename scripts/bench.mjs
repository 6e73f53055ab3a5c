// Bundles and runs the experiments: `npm run bench -- [name …] [--seed=N]`. The processes that they start run
// dist/papayalead.cjs.
import { execFileSync, spawnSync } from 'node:child_process'
import { bundle } from './bundle.mjs'

const commit = execFileSync('git', ['describe', '--always', '--dirty', '--abbrev=9']).toString().trim()
await bundle('dist/papayalead.cjs')
await bundle('dist/bench.cjs', 'src/bench/main.ts')
const run = spawnSync(process.execPath, ['--expose-gc', 'dist/bench.cjs', ...process.argv.slice(2)], { stdio: 'inherit', env: { ...process.env, PAPAYALEAD_COMMIT: commit } })
process.exit(run.status ?? 1)
