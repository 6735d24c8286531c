#!/bin/sh
# Builds what the scripts of review/9 to review/13 start besides the program of the deploy file.
# Their stand-ins are plain modules of Node.js without dependencies: they are only checked here.
set -e
cd "$(dirname "$0")/.."
for file in review/stand-ins-3/*.mjs review/9/*.mjs review/1[0-3]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
