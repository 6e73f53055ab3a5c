// Builds target/papayalead.cjs: the processes that run on the users' platform, in one bundle that node runs.
import { mkdirSync } from 'node:fs'
import { bundlePlatform } from './bundlePlatform.mjs'

mkdirSync('target', { recursive: true })
await bundlePlatform('target/papayalead.cjs')
