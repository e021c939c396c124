#!/usr/bin/env bash
# Measures the control plane cost of a node: starts N idle nodes in three data centres, lets them
# settle, and prints CPU time, resident memory, peer bytes and store calls per node, as the mean over
# all nodes. With --churn one node in ten is killed and restarted during the measurement.
#   scripts/measure_control.sh N [SECONDS] [--churn]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
nodes=$1
seconds=${2:-30}
churn=${3:-}
data_centres=3
platform_port=${PLATFORM_PORT:-26790}
http_base=27000
peer_base=28000
fleet_seeds="n0@127.0.0.1:$peer_base@dc-0"

fleet_start platform build/tests/stand_ins/platform_stand_in --port "$platform_port"
fleet_wait "http://127.0.0.1:$platform_port/platform/v1/hosts"
printf '{"changes":1}' >"$fleet_dir/index.json"
store_put fuchsiaquay/contracts/home-growers examples/demo/home-growers.json
store_put fuchsiaquay/contracts_index "$fleet_dir/index.json"
for ((i = 0; i < 20; i++)); do
  put_host "{\"id\":\"engine-$i\",\"kind\":\"engine\",\"address\":\"127.0.0.1\",\"port\":9,\"data_centre\":\"dc-$((i % data_centres))\",\"state\":\"live\",\"models\":[\"assistant-7b\"],\"memory_tokens\":400000}"
done
declare -A node_pid
start_node() {
  fleet_node "n$1" "dc-$(($1 % data_centres))" $((http_base + $1)) $((peer_base + $1))
  node_pid[$1]=${fleet_pids[-1]}
}
for ((i = 0; i < nodes; i++)); do start_node "$i"; done
for ((i = 0; i < nodes; i++)); do fleet_wait "http://127.0.0.1:$((http_base + i))/readyz"; done
sleep 20

sample() {
  local i
  for ((i = 0; i < nodes; i++)); do
    curl -fs -m 5 "http://127.0.0.1:$((http_base + i))/metrics" |
      awk -v node="$i" '/^fuchsiaquay_(process_cpu_seconds_total|peer_bytes_sent_total|peer_bytes_received_total|store_calls_total) /{print node, $1, $2}' || true
  done
}
sample >"$fleet_dir/before"
begin=$(date +%s.%N)
if [ "$churn" = --churn ]; then
  for ((i = 1; i <= nodes / 10; i++)); do
    kill -9 "${node_pid[$i]}"
    sleep $((seconds / (nodes / 10 + 1)))
    start_node "$i"
  done
fi
sleep "$seconds"
end=$(date +%s.%N)
sample >"$fleet_dir/after"
memory=0
for ((i = 0; i < nodes; i++)); do
  rss=$(awk '/^VmRSS/{print $2}' "/proc/${node_pid[$i]}/status" 2>/dev/null || echo 0)
  memory=$((memory + rss))
done
awk -v span="$(echo "$end $begin" | awk '{print $1 - $2}')" -v nodes="$nodes" -v memory="$memory" '
  NR == FNR { before[$1 $2] = $3; next }
  ($1 $2) in before && $3 >= before[$1 $2] { sum[$2] += $3 - before[$1 $2]; count[$2]++ }
  END {
    cpu = sum["fuchsiaquay_process_cpu_seconds_total"] / count["fuchsiaquay_process_cpu_seconds_total"]
    out = sum["fuchsiaquay_peer_bytes_sent_total"] / count["fuchsiaquay_peer_bytes_sent_total"]
    into = sum["fuchsiaquay_peer_bytes_received_total"] / count["fuchsiaquay_peer_bytes_received_total"]
    store = sum["fuchsiaquay_store_calls_total"] / count["fuchsiaquay_store_calls_total"]
    printf "nodes=%d cpu_percent=%.2f rss_mb=%.1f sent_bytes_s=%.0f received_bytes_s=%.0f store_calls_s_node=%.3f store_calls_s_fleet=%.2f\n",
      nodes, 100 * cpu / span, memory / nodes / 1024, out / span, into / span, store / span, store * nodes / span
  }' "$fleet_dir/before" "$fleet_dir/after"
for ((i = 0; i < nodes; i++)); do kill -9 "${node_pid[$i]}" 2>/dev/null || true; done
