import { bundle } from './bundle.mjs'
import { leanLibraries } from './leanLibraries.mjs'

/** Bundles the processes of the platform, which start on small instances and should load little. */
export async function bundlePlatform (outfile) {
  await bundle(outfile, 'platform/main.ts', {
    sourcemap: false,
    minifySyntax: true,
    minifyWhitespace: true,
    plugins: [leanLibraries],
    // The native string decoder of cbor-x takes 7 ms to load and gains nothing on messages as small as these.
    define: { 'import.meta.url': '__filename', 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' }
  })
}
