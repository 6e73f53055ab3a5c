import { build } from 'esbuild'

// esbuild options shared by the binary and the tests. Without mainFields, the UMD build of jsonc-parser is bundled and
// fails at run time. Without the externals, oclif adds the whole TypeScript compiler to the bundle.
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
