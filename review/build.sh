#!/usr/bin/env bash
# The stand-ins are plain modules without dependencies: nothing is compiled. Checks that each of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
