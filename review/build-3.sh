#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain modules of Node.js
# without dependencies, so there is nothing to compile: this checks their syntax.
cd "$(dirname "$0")" || exit 1
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  node --check "$file" || exit 1
done
