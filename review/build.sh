#!/bin/sh
# The stand-ins of the cases are plain JavaScript modules: there is nothing to compile. This checks that all of them can be
# read, and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")"
for file in *.mjs */run.mjs; do node --check "$file"; done
test -f ../target/papayalead.cjs
