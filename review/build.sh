#!/bin/sh
# The stand-ins are plain .mjs files that use Node.js alone, so there is nothing to compile; this
# checks that each of them parses.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do node --check "$file"; done
