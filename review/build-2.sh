#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are modules that Node.js runs as they are, so
# that this only checks their syntax; none of the project's own stand-ins is used.
cd "$(dirname "$0")" || exit 1
for module in lib-2/*.mjs [6-9]/run.mjs 10/run.mjs; do
  node --check "$module" || exit 1
done
