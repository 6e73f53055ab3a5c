// Builds the embeddable library: dist/lib/index.js (ES module, dependencies stay external) and its type declarations.
import { execFileSync } from 'node:child_process'
import { rmSync } from 'node:fs'
import { build } from 'esbuild'

rmSync('dist/lib', { recursive: true, force: true })
await build({ entryPoints: ['src/index.ts'], outfile: 'dist/lib/index.js', bundle: true, packages: 'external', platform: 'node', target: 'node20', format: 'esm', logLevel: 'warning' })
execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '-p', 'tsconfig.lib.json'], { stdio: 'inherit' })
