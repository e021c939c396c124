#!/usr/bin/env bash
# Soak test of the entry role over several seeds: scripts/soak_entry.sh FIRST LAST [SECONDS] [PARALLEL]
# Seeds that failed in the past are listed in tests/soak/regressions.txt and run first.
set -euo pipefail
cd "$(dirname "$0")/.."
first=$1 last=$2 seconds=${3:-20} parallel=${4:-3}
{ grep -v '^#' tests/soak/regressions.txt | cut -d' ' -f1; seq "$first" "$last"; } |
  xargs -P "$parallel" -I{} python3 tests/soak/soak.py --binary build/main/fuchsiaquay --seed {} \
    --seconds "$seconds"
