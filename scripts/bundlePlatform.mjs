import { bundle } from './bundle.mjs'
import { trimDependencies } from './trimDependencies.mjs'

/** Bundles the processes that run on the users' platform. They start on small instances, so unused code is left out. */
export async function bundlePlatform (outfile) {
  await bundle(outfile, 'platform/main.ts', {
    sourcemap: false,
    minifySyntax: true,
    minifyWhitespace: true,
    plugins: [trimDependencies],
    // The native string decoder of cbor-x takes 7 ms to load and is no faster for messages of this size.
    define: { 'import.meta.url': '__filename', 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' }
  })
}
