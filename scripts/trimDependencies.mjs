import { fileURLToPath } from 'node:url'

// Parts of libraries that no process uses, with what takes their place. Loading them is most of a process's weight at
// its start; scripts/measure-weight.mjs shows it.
const REPLACEMENTS = [
  { filter: /zod\/v4\/locales\/index\.js$/, contents: 'export { default as en } from "./en.js"' },
  { filter: /undici\/lib\/dispatcher\/client-h2\.js$/, contents: 'module.exports = () => { throw new Error("HTTP/2 is not part of this bundle.") }' }
]

/** An esbuild plugin that leaves these parts out. */
export const leanLibraries = {
  name: 'lean libraries',
  setup (build) {
    build.onResolve({ filter: /^undici$/ }, () => ({ path: fileURLToPath(new URL('undiciEntry.cjs', import.meta.url)) }))
    for (const { filter, contents } of REPLACEMENTS) build.onLoad({ filter }, () => ({ contents }))
  }
}
