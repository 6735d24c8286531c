#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start: the project's own
# platform stand-ins. The program itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npx tsc --build platform packages/entry
