#!/usr/bin/env bash
# Model checking with spin. Each specification must hold over all its states, and each of its
# mutations must break a property. Prints the states of every run; ends 0 only if all do as expected.
set -u
cd "$(dirname "$0")"
readonly time_limit_seconds=120
readonly memory_limit_mb=3000
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
unexpected=0

# check EXPECTATION SPECIFICATION [MUTATION]; the expectation is "holds" or "fails".
check() {
  local expectation=$1 specification=$2 mutation=${3:-}
  local folder="$work/$specification-$mutation"
  mkdir -p "$folder"
  cp "$specification.pml" "$folder/"
  (
    cd "$folder" || exit
    spin ${mutation:+-D$mutation} -a "$specification.pml" &&
      cc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_limit_mb -o pan pan.c &&
      timeout $time_limit_seconds ./pan -m100000
  ) >"$folder/log" 2>&1
  local states errors result=incomplete
  states=$(awk '/states, stored/ { print $1 }' "$folder/log")
  errors=$(awk -F 'errors: ' '/errors: / { print $2 }' "$folder/log")
  if grep -q 'pan:1: assertion violated' "$folder/log"; then
    result=fails
  elif [ "$errors" = 0 ] && ! grep -q 'Search not completed\|max search depth too small' "$folder/log"; then
    result=holds
  fi
  printf '%-9s %-18s %-10s %10s states  %s\n' "$specification" "${mutation:-as designed}" "$result" \
    "${states:-?}" "$(grep -m 1 'elapsed time' "$folder/log" | sed 's/pan: //')"
  if [ "$result" != "$expectation" ]; then
    unexpected=$((unexpected + 1))
    echo "UNEXPECTED: $specification ${mutation:-as designed} should be: $expectation"
    tail -n 20 "$folder/log"
  fi
}

check holds journal
for mutation in CALL_EARLY NOT_RUN_AFTER_CALL TAKE_OVER FREE_UNKNOWN FORGET_ABANDONED \
  IGNORE_HORIZON NO_COMPARE; do
  check fails journal "$mutation"
done
check holds grants
for mutation in NO_EXPIRY NO_ORPHAN_CANCEL NO_GRACE OWN_ORPHANS_ONLY; do
  check fails grants "$mutation"
done
check holds freshness
for mutation in AGE_FROM_ANSWER CLOCK_STOPS SOURCE_IS_FRESH NO_LAG NO_BOUND; do
  check fails freshness "$mutation"
done
check holds reservation
for mutation in NO_LIFETIME KEEP_ONE SEND_EARLY NO_RELEASE; do
  check fails reservation "$mutation"
done
echo "model checking: $unexpected unexpected"
[ "$unexpected" -eq 0 ]
