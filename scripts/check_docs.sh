#!/usr/bin/env bash
# Checks that the documentation matches the code: the settings table and the example settings.
set -euo pipefail
cd "$(dirname "$0")/.."
node=build/main/fuchsiaquay
diff <("$node" --print-settings; "$node" entry --print-settings) <(grep '^| `' docs/CONFIGURATION.md) ||
  { echo "docs/CONFIGURATION.md differs from fuchsiaquay [entry] --print-settings"; exit 1; }
"$node" entry --config examples/entry/entry.ini --check-config
# Names that belong to the users' platform may appear only in its adapter.
if git ls-files '*.cpp' '*.hpp' | grep -vE '^(platform|tests)/' |
    xargs grep -lE 'X-(Attempt-Id|Response-Seal|Deadline-Ms|Expect-Instance|Helpers|Tenant)|kv-(txn|watch|range|key)|op/config'; then
  echo "names of the platform outside platform/"
  exit 1
fi
for file in examples/*.ini; do
  "$node" --config "$file" --check-config
done
for link in $(grep -o '](docs/[^)]*)' README.md | tr -d '])('); do
  [ -e "$link" ] || { echo "README.md links to $link, which does not exist"; exit 1; }
done
echo "documents: match"
