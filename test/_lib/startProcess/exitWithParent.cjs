// Ends the process when its parent is gone, also when the parent was killed: the parent holds the other end of the pipe.
process.stdin.on('end', () => process.exit(137)).resume().unref()
