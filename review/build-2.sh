#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases 4 to 8 start. They are JavaScript modules in lib-2 and in the
# folders of the cases, and use Node.js alone, so that there is nothing to compile; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 4/case.mjs 5/case.mjs 6/case.mjs 7/case.mjs 8/case.mjs; do
    node --check "$file"
done
