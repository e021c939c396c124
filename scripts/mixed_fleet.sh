#!/usr/bin/env bash
# Runs scenarios and soaks in fleets whose nodes run two versions of the program: every second node
# starts from the given program, and each restart switches a node to the other version. Checks that
# each version reads the settings, stored values, frames and datagrams of the other.
#   scripts/mixed_fleet.sh PREVIOUS_PROGRAM [SCENARIO...]      all scenarios by default
set -euo pipefail
cd "$(dirname "$0")/.."
previous=$(realpath "$1")
shift
[ "$#" -gt 0 ] || set -- $(ls tests/scenarios/cases | sed 's/\.lua$//')
cp "$previous" build/main/fuchsiaquay-previous
passed=0
failed=0
verdict() {
  local name=$1
  shift
  if "$@" >"build/mixed_fleet_$name.log" 2>&1; then
    passed=$((passed + 1))
    echo "passed: $name"
  else
    failed=$((failed + 1))
    echo "FAILED: $name, see build/mixed_fleet_$name.log"
  fi
}
for name in "$@"; do
  verdict "$name" env PREVIOUS_PROGRAM=main/fuchsiaquay-previous \
    build/tests/scenarios/scenario_runner --build build --prelude tests/scenarios/prelude.lua \
    --script "tests/scenarios/cases/$name.lua" --seed 1
done
for seed in 1 2 3; do
  verdict "soak_$seed" python3 tests/soak/soak.py --binary build/main/fuchsiaquay \
    --previous build/main/fuchsiaquay-previous --nodes 4 --seed "$seed" --seconds 20
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
