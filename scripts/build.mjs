// Builds the executable dist/papayalead: bundles the code, creates the blob of a Node.js single-executable application
// (SEA) from the bundle, and injects the blob into a copy of node.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs'
import { bundle } from './bundle.mjs'

mkdirSync('dist', { recursive: true })
await bundle('dist/papayalead.cjs')
writeFileSync('dist/sea.json', JSON.stringify({ main: 'dist/papayalead.cjs', output: 'dist/papayalead.blob', disableExperimentalSEAWarning: true }))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' })
copyFileSync(process.execPath, 'dist/papayalead')
chmodSync('dist/papayalead', 0o755)
execFileSync('node_modules/.bin/postject', ['dist/papayalead', 'NODE_SEA_BLOB', 'dist/papayalead.blob', '--sentinel-fuse', 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'], { stdio: 'inherit' })
