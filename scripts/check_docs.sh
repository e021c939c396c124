#!/usr/bin/env bash
# Checks that documents follow the code: the settings table, and the example settings.
set -euo pipefail
cd "$(dirname "$0")/.."
node=build/main/fuchsiaquay
diff <("$node" --print-settings) <(grep '^| `' docs/CONFIGURATION.md) ||
  { echo "docs/CONFIGURATION.md differs from fuchsiaquay --print-settings"; exit 1; }
for file in examples/*.ini; do
  "$node" --config "$file" --check-config
done
for link in $(grep -o '](docs/[^)]*)' README.md | tr -d '])('); do
  [ -e "$link" ] || { echo "README.md names $link, which is not there"; exit 1; }
done
echo "documents: match"
