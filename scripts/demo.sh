#!/usr/bin/env bash
# Installs packages, builds, starts the test servers and two nodes on loopback, sends requests and
# prints the answers. Stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != "--built" ]; then
  scripts/packages.sh
  cmake --preset release >/dev/null
  cmake --build build
fi
. scripts/fleet.sh
platform_port=${PLATFORM_PORT:-23790}
fleet_seeds="entry-1@127.0.0.1:23811@gasan,entry-2@127.0.0.1:23812@gasan"

fleet_start platform build/tests/stand_ins/platform_stand_in --port "$platform_port"
fleet_start engine-1 build/tests/stand_ins/engine_stand_in --port 23831
fleet_start engine-2 build/tests/stand_ins/engine_stand_in --port 23832
fleet_start orders-1 build/tests/stand_ins/service_stand_in --port 23841
fleet_wait "http://127.0.0.1:$platform_port/platform/v1/hosts"
for n in 1 2; do
  put_host "{\"id\":\"engine-$n\",\"kind\":\"engine\",\"address\":\"127.0.0.1\",\"port\":2383$n,\"data_centre\":\"gasan\",\"state\":\"live\",\"models\":[\"assistant-7b\"],\"checks_orders\":true,\"memory_tokens\":400000}"
done
put_host '{"id":"orders-1","kind":"service","service":"orders","address":"127.0.0.1","port":23841,"data_centre":"gasan","state":"live"}'
store_put fuchsiaquay/contracts/home-growers examples/demo/home-growers.json
printf '{"changes":1}' >"$fleet_dir/index.json"
store_put fuchsiaquay/contracts_index "$fleet_dir/index.json"
fleet_node entry-1 gasan 23801 23811
fleet_node entry-2 gasan 23802 23812
fleet_wait http://127.0.0.1:23801/readyz
fleet_wait http://127.0.0.1:23802/readyz
key="Authorization: Bearer demo-caller-key"

echo "== which entry host to use"
curl -fs -H "$key" http://127.0.0.1:23801/v1/entrypoints
echo
entry=$(curl -fs -H "$key" http://127.0.0.1:23801/v1/entrypoints |
  sed 's/.*"entrypoints":\[{"address":"\([^"]*\)","host":"[^"]*","port":\([0-9]*\).*/\1:\2/')
echo "== connecting to $entry"

python3 - "$fleet_dir" <<'PY'
import json, sys
words = "day {} block {} humidity {} percent, flush {} after {} days, green spot near the filter patch. "
def log(n): return "".join(words.format(i, i % 40, 60 + i % 35, i % 4, 5 + i % 9) for i in range(n))
for name, n, tokens in (("short", 25, 12), ("season", 11500, 12)):
    prompt = "Why does this block stall?\n" + log(n)
    json.dump({"model": "assistant-7b", "prompt": prompt, "max_tokens": tokens, "stream": True},
              open(f"{sys.argv[1]}/{name}.json", "w"))
    print(f"{name}: {len(prompt.split())} words, {len(prompt)} bytes")
PY

echo "== a short question, streamed"
curl -fsN -H "$key" -H "X-Rank: question" -d @"$fleet_dir/short.json" "http://$entry/v1/completions" >"$fleet_dir/short.txt"
head -6 "$fleet_dir/short.txt"
echo "== a season of grow logs (about 1 MB), streamed"
curl -fsN -H "$key" -H "X-Rank: diagnosis" -m 120 -w 'first byte after %{time_starttransfer} s, complete after %{time_total} s\n' \
  -d @"$fleet_dir/season.json" "http://$entry/v1/completions" | tail -5
echo "== a restock order that may run at most once, sent twice"
order_key=$(python3 -c 'import time,secrets; t=int(time.time()*1000); r=secrets.token_hex(10); h=f"{t:012x}7{r[:3]}a{r[4:7]}{r[7:19]}"; print(f"{h[:8]}-{h[8:12]}-{h[12:16]}-{h[16:20]}-{h[20:32]}")')
for _ in 1 2; do
  curl -s -H "$key" -H "Idempotency-Key: $order_key" -d '{"kits":40}' "http://$entry/v1/services/orders/restock"
  echo
done
echo "== executions at the service"
curl -fs http://127.0.0.1:23841/_record
echo
echo "== the first routing, dispatch and settlement events"
cat "$fleet_dir"/entry-*.log | grep -E 'event=(route|dispatch|settle) ' | head -3
