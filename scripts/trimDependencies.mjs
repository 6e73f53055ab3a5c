import { fileURLToPath } from 'node:url'

// Library modules that no process uses, with their replacements. Loading them accounts for most of the processor time
// and memory of a process at its start; scripts/measure-weight.mjs measures both.
const REPLACEMENTS = [
  { filter: /zod\/v4\/locales\/index\.js$/, contents: 'export { default as en } from "./en.js"' },
  { filter: /undici\/lib\/dispatcher\/client-h2\.js$/, contents: 'module.exports = () => { throw new Error("HTTP/2 is not part of this bundle.") }' }
]

/** An esbuild plugin that replaces these modules, and undici by the parts of it that the bundles use. */
export const trimDependencies = {
  name: 'trim dependencies',
  setup (build) {
    build.onResolve({ filter: /^undici$/ }, () => ({ path: fileURLToPath(new URL('undiciEntry.cjs', import.meta.url)) }))
    for (const { filter, contents } of REPLACEMENTS) build.onLoad({ filter }, () => ({ contents }))
  }
}
