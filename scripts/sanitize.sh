#!/usr/bin/env bash
# Builds the unit tests with a sanitizer and runs them.
#   scripts/sanitize.sh asan|tsan
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-asan}
cmake --preset "$preset" >/dev/null
targets=(core_test servers_test frames_test json_test journal_codec_test platform_test)
if [ "$preset" = asan ]; then
  targets+=(traffic_test net_test http_test api_test log_test)
fi
cmake --build "build-$preset" --target "${targets[@]}"
ctest --test-dir "build-$preset" --output-on-failure -j 4 \
  -R "^($(IFS='|'; echo "${targets[*]}"))\$" --timeout 300
