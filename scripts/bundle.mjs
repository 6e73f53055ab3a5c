import { build } from 'esbuild'

// esbuild settings shared by the binary and the tests. Without mainFields the UMD build of jsonc-parser
// fails at run time; without the externals oclif pulls in the whole TypeScript compiler.
export async function bundle (outfile, entryPoint = 'src/main.ts', options = {}) {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    external: ['cbor-extract', 'typescript', 'ts-node'],
    sourcemap: 'inline',
    sourcesContent: false,
    logLevel: 'warning',
    define: { 'import.meta.url': '__filename' },
    ...options
  })
}
