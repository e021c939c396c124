# Functions that start a small fleet on loopback; to be sourced. Every process started here is
# killed by its own id when the shell exits.
fleet_pids=()
fleet_dir=$(mktemp -d)

fleet_stop() {
  for pid in "${fleet_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  fleet_pids=()
  rm -rf "$fleet_dir"
}
trap fleet_stop EXIT

# fleet_start NAME COMMAND...: runs COMMAND in the background with its output in $fleet_dir/NAME.log
fleet_start() {
  local name=$1
  shift
  "$@" >"$fleet_dir/$name.log" 2>&1 &
  fleet_pids+=($!)
}

# fleet_wait URL: waits until URL answers with status 200
fleet_wait() {
  for _ in $(seq 1 200); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 5 "$fleet_dir"/*.log >&2
  return 1
}

# store_put KEY FILE: writes a value through the platform's gateway
store_put() {
  local key value
  key=$(printf '%s' "$1" | base64 -w0)
  value=$(base64 -w0 <"$2")
  printf '{"key":"%s","value":"%s"}' "$key" "$value" |
    curl -fs -o /dev/null -d @- "http://127.0.0.1:$platform_port/v3/kv/put"
}

# put_host JSON: adds an upstream to the platform's host list
put_host() {
  local id
  id=$(printf '%s' "$1" | sed 's/.*"id":"\([^"]*\)".*/\1/')
  curl -fs -o /dev/null -X PUT -d "$1" "http://127.0.0.1:$platform_port/control/hosts/$id"
}

# fleet_node NAME DATA_CENTRE HTTP_PORT PEER_PORT: writes the settings of a node and starts it
fleet_node() {
  cat >"$fleet_dir/$1.ini" <<INI
[node]
host = $1
data_centre = $2
http_port = $3
peer_port = $4
[cluster]
key = demo-cluster-key
seeds = $fleet_seeds
[platform]
port = $platform_port
INI
  fleet_start "$1" ${BUILD_DIR:-build}/main/fuchsiaquay --config "$fleet_dir/$1.ini"
}
