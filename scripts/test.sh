#!/usr/bin/env bash
# Installs packages, builds the release preset and runs every test: unit tests, then scenarios of
# real processes. Arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
cmake --preset release >/dev/null
cmake --build build
ctest --test-dir build --output-on-failure -j 8 "$@"
