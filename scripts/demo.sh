#!/usr/bin/env bash
# Starts two nodes with a stand-in store and stand-in leafs on loopback, sends them real
# queries, injects faults into leafs and the store meanwhile, and shows answers, coverage
# and latency. Stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh | tail -1
build_dir=$PWD/build
run_dir=$(mktemp -d)
. scripts/cluster.sh
. platform/standin/ask.sh
trap 'stop_all; rm -rf "$run_dir"' EXIT
print_heading() { printf '\n== %s\n' "$*"; }

# start_node NAME: starts a node on free ports.
start_node() {
  cat >"$run_dir/$1.yaml" <<YAML
node: $1
availability_zone: zone-a
store: "$store"
listen: {clients: "127.0.0.1:0", readiness: "127.0.0.1:0", metrics: "127.0.0.1:0"}
stop: {grace_s: 2}
YAML
  start "$1" "$build_dir/bin/ibis_node" --settings "$run_dir/$1.yaml"
}

# await_node NAME: waits up to 10 s until a node accepts clients.
await_node() {
  local tries=0
  until is_ready "$(address_of "$run_dir/$1.addr" ready)"; do
    tries=$((tries + 1))
    [ "$tries" -lt 400 ] || { echo "$1 is not ready" >&2; return 1; }
    sleep 0.025
  done
}

# send_query NODE ID: sends a query and counts it, a failure and a partial answer.
send_query() {
  ask_node "$(address_of "$run_dir/$1.addr" clients)" "$2" "$run_dir/head" >>"$run_dir/times"
  sent=$((sent + 1))
  grep -q '^HTTP/1.1 200' "$run_dir/head" || failed=$((failed + 1))
  is_whole "$run_dir/head" || partial=$((partial + 1))
}

# run_condition NAME: sends 200 queries to the two nodes in turn and prints a summary.
run_condition() {
  sent=0 failed=0 partial=0
  : >"$run_dir/times"
  for i in $(seq 200); do
    send_query "node-$((i % 2 + 1))" "$1-$i"
  done
  sort -n "$run_dir/times" | awk -v name="$1" -v failed="$failed" -v partial="$partial" '
    { t[NR] = $1 * 1000 }
    END { printf "%-32s %d queries, %d failed, %d partial; p50 %.0f ms, p99 %.0f ms\n",
          name, NR, failed, partial, t[int(NR / 2)], t[int(NR * 0.99)] }'
  total_failed=$((total_failed + failed))
}

print_heading "A store, 8 shards with two leafs each, and two nodes"
start fleet "$build_dir/platform/ibis_standin_fleet"
store=$(address_of "$run_dir/fleet.addr" store)
start_node node-1
start_node node-2
await_node node-1
await_node node-2

total_failed=0
print_heading "One query"
sent=0 failed=0 partial=0
send_query node-1 first
cat "$run_dir/head"

print_heading "200 queries under each condition"
run_condition "no fault"
set_leaf_faults() { curl -sf -X POST "http://$(address_of "$run_dir/fleet.addr" "$1")/faults" -d "$2" >/dev/null; }
set_leaf_faults shard-0-0 '{"reaction": "lose"}'
run_condition "a leaf drops its replies"
set_leaf_faults shard-0-0 '{"reaction": "answer"}'
set_leaf_faults shard-1-1 '{"service_ms": 120}'
run_condition "a leaf is slow"
set_leaf_faults shard-1-1 '{"service_ms": 5}'
set_leaf_faults shard-2-0 '{"reaction": "refuse", "retry_after_s": "5"}'
run_condition "a leaf turns queries away for a while"
set_leaf_faults shard-2-0 '{"reaction": "answer", "retry_after_s": ""}'
set_leaf_faults shard-3-1 '{"leaving": true}'
run_condition "a leaf says that it leaves"
set_leaf_faults shard-3-1 '{"leaving": false}'
curl -sf -X POST "http://$store/faults" -d '{"mode": "reset", "drop_history": true}' >/dev/null
run_condition "the store is down"
curl -sf -X POST "http://$store/faults" -d '{"mode": "well"}' >/dev/null

print_heading "Metrics of each node"
for node in node-1 node-2; do
  curl -s "http://$(address_of "$run_dir/$node.addr" metrics)/metrics" |
    grep -E '^ibis_(requests_ended|leaf_(sends|hedges|retries)|store_calls)' | sed "s/^/$node /"
done

print_heading "Graceful stop"
stop TERM node-1 node-2
grep -h '"event":"stopped"' "$run_dir"/node-*.out || true
[ "$total_failed" -eq 0 ] || { echo "$total_failed queries failed"; exit 1; }
echo "no query failed"
