#!/usr/bin/env bash
# Time from acceptance until a change is in force on 7 VMs of real processes, as
# `ibisctl apply --wait` sees it, and what control costs each process meanwhile.
#
#   bench/in_force.sh [CHANGES]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build
changes=${1:-30}
run=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_all; rm -rf "$run"' EXIT
start_platform
start_leaf leaf-1 --shards 1
zones=(praha-a brno-b ostrava-c)
for n in 1 2 3 4 5 6 7; do start_vm "vm-$n" "${zones[$(((n - 1) % 3))]}"; done

write_base() {
  cat >"$run/base.yaml" <<YAML
availability_zones: [{name: praha-a}, {name: brno-b}, {name: ostrava-c}]
services:
  search:
    tenant: chladivo
    policy: {default_timeout_ms: $1}
    groups: [{shards: {first: 0, last: 0}, leafs: [{name: leaf-1, address: "$(leaf_address leaf-1)"}]}]
YAML
}
apply() {
  "$bin/src/programs/ibisctl" apply --platform "$platform" --author bench --note bench --yes \
    --wait "$run/base.yaml" >"$run/apply.txt" || cat "$run/apply.txt"
}
value() { curl -s "http://$1/metrics" | sed -n "s/^ibis_$2 //p"; }

write_base 500
apply
await_ready "${vms[@]}"
sleep 8
before_bytes=$(value "$(entry_http vm-4)" control_bytes_sent_total)
before_messages=$(value "$(entry_http vm-4)" control_messages_sent_total)
before_cpu=$(value "$(entry_http vm-4)" cpu_seconds)
started=$(date +%s.%N)
for i in $(seq "$changes"); do
  write_base $((500 + i))
  from=$(date +%s%N)
  apply
  echo $((($(date +%s%N) - from) / 1000000)) >>"$run/times"
done
for vm in "${vms[@]}"; do
  [ "$(value "$(entry_http "$vm")" generation)" = $((changes + 1)) ] || echo "$vm lags"
done
sort -n "$run/times" | awk '{t[NR] = $1} END {
  printf "apply --wait on 7 VMs, %d changes: p50 %d ms, p99 %d ms, max %d ms (100 ms of it between looks)\n", NR, t[int((NR + 1) / 2)], t[int(NR * 0.99 + 0.5)], t[NR]}'
sleep 10
awk -v b="$before_bytes" -v m="$before_messages" -v c="$before_cpu" -v s="$started" \
  -v e="$(date +%s.%N)" -v b2="$(value "$(entry_http vm-4)" control_bytes_sent_total)" \
  -v m2="$(value "$(entry_http vm-4)" control_messages_sent_total)" \
  -v c2="$(value "$(entry_http vm-4)" cpu_seconds)" \
  -v r="$(value "$(entry_http vm-4)" max_resident_mb)" 'BEGIN {
  t = e - s
  printf "an idle entry over %.0f s with these changes: %.0f bytes/s and %.1f messages/s of control sent, %.2f%% of a core, %.0f MB\n", t, (b2 - b) / t, (m2 - m) / t, (c2 - c) / t * 100, r}'
victim=vm-5-relay
from=$(date +%s%N)
kill -KILL "${pid_of[$victim]}"
until curl -s "http://$(entry_http vm-1)/v1/status" | grep -q '"node":"vm-5/relay","status":"dead"'; do
  sleep 0.02
done
echo "a killed relay is known to be dead after $((($(date +%s%N) - from) / 1000000)) ms"
echo "calls of the platform: $(curl -s "http://$platform/v1/stats")"
