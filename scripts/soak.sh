#!/usr/bin/env bash
# Runs the scenario of random fault pairs repeatedly, each run with the next seed.
#   scripts/soak.sh --seed N --minutes M [--build FOLDER]
# Stops at the first failed run, which prints its seed and a timeline.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
minutes=10
build=build
while [ "$#" -gt 0 ]; do
  case "$1" in
    --seed) seed=$2 ;;
    --minutes) minutes=$2 ;;
    --build) build=$2 ;;
    *) echo "unknown argument: $1" >&2; exit 2 ;;
  esac
  shift 2
done
end=$((SECONDS + minutes * 60))
runs=0
while [ "$SECONDS" -lt "$end" ]; do
  SOAK_SECONDS=60 "$build/tests/scenarios/scenario_runner" --build "$build" \
    --prelude tests/scenarios/prelude.lua --script tests/scenarios/cases/faults_in_pairs.lua \
    --seed "$seed" --limit-seconds 600
  runs=$((runs + 1))
  seed=$((seed + 1))
done
echo "$runs runs passed, next seed $seed"
