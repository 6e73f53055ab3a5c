// Exits when the parent has exited or was killed: the parent holds the other end of the stdin pipe, which closes then.
process.stdin.on('end', () => process.exit(137)).resume().unref()
