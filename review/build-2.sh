#!/bin/sh
# Builds the stand-ins that the scripts start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -b packages/standins
