import { runCommandLine } from './command/runCommandLine'

// The embedder warning of single executables concerns `require`, which the bundle uses for built-in modules only.
process.removeAllListeners('warning')
runCommandLine(process.argv.slice(2)).then(() => process.exit())
