import { bundle } from './bundle.mjs'

export default async function bundleForTests () {
  await bundle('dist/papayalead.cjs')
}
