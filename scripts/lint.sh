#!/usr/bin/env bash
# Formatter and linter over every source file; needs a configured build folder.
#   scripts/lint.sh          check everything
#   scripts/lint.sh --fix    format in place, then lint
#   scripts/lint.sh FILE...  check these files only
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run -Werror)
if [ "${1:-}" = "--fix" ]; then
  mode=(-i)
  shift
fi
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v _generated)
fi
clang-format "${mode[@]}" "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "lint: clean"
