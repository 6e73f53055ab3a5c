// Builds target/papayalead.cjs: the processes that run on the users' platform, in one bundle that node runs.
import { mkdirSync } from 'node:fs'
import { bundle } from './bundle.mjs'

mkdirSync('target', { recursive: true })
await bundle('target/papayalead.cjs', 'platform/main.ts', { sourcemap: false, minifySyntax: true })
