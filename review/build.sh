#!/bin/sh
# The stand-ins are plain modules for Node.js without dependencies: nothing has
# to be compiled. Checks that each of them can be loaded.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/run.mjs; do
  node --check "$file" || exit 1
done
