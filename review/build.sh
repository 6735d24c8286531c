#!/bin/sh
# The stand-ins of the cases are plain modules of Node.js: this checks that each can be read.
# The cases start no stand-in of the project.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-3]/*.mjs; do
  node --check "$file"
done
