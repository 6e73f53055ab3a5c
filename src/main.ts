import { runCommandLine } from './command/runCommandLine'

// Node.js warns that `require` in a single executable loads only built-in modules. The bundle requires no others.
process.removeAllListeners('warning')
runCommandLine(process.argv.slice(2)).then(() => process.exit())
