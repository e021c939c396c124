#!/usr/bin/env bash
# Builds the libFuzzer targets with clang and runs each for a fixed number of inputs and a fixed
# seed: scripts/fuzz.sh [RUNS] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
seed=${2:-1}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" \
  -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_CXX_FLAGS="-Wno-error=all -Wno-error=extra" -DFUCHSIAQUAY_FUZZ=ON \
  -DFUCHSIAQUAY_SANITIZE=address,undefined,fuzzer-no-link >/dev/null
targets=()
for source in tests/fuzz/fuzz_*.cpp; do
  targets+=("$(basename "$source" .cpp)")
done
cmake --build build-fuzz --target "${targets[@]}"
for target in "${targets[@]}"; do
  name=${target#fuzz_}
  corpus=build-fuzz/corpus/$name
  mkdir -p "$corpus"
  seeds=()
  [ ! -d "tests/fuzz/seeds/$name" ] || seeds=("tests/fuzz/seeds/$name")
  echo "== $target"
  "build-fuzz/tests/fuzz/$target" -runs="$runs" -seed="$seed" -max_len=4096 -timeout=10 \
    -rss_limit_mb=1024 -verbosity=0 -artifact_prefix="$corpus/" "$corpus" "${seeds[@]}"
done
echo "fuzz: ${#targets[@]} targets, $runs inputs each, seed $seed"
