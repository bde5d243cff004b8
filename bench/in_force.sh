#!/usr/bin/env bash
# Measures the time from the acceptance of a configuration change until it is in force on 7
# VMs of real processes, as `ibisctl apply --wait` sees it, the control plane's cost for an
# entry meanwhile, and how long it takes to detect the death of a relay.
#
#   bench/in_force.sh [CHANGES]
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=$PWD/build
changes=${1:-30}
run_dir=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_all; rm -rf "$run_dir"' EXIT
start_platform
start_leaf leaf-1 --shards 1
zones=(praha-a brno-b ostrava-c)
for n in 1 2 3 4 5 6 7; do start_vm "vm-$n" "${zones[$(((n - 1) % 3))]}"; done

# write_base TIMEOUT_MS: writes a configuration with this default timeout.
write_base() {
  cat >"$run_dir/base.yaml" <<YAML
availability_zones: [{name: praha-a}, {name: brno-b}, {name: ostrava-c}]
services:
  search:
    tenant: chladivo
    policy: {default_timeout_ms: $1}
    groups: [{shards: {first: 0, last: 0}, leafs: [{name: leaf-1, address: "$(leaf_address leaf-1)"}]}]
YAML
}
apply() {
  "$build_dir/src/programs/ibisctl" apply --platform "$platform" --author bench --note bench --yes \
    --wait "$run_dir/base.yaml" >"$run_dir/apply.txt" || cat "$run_dir/apply.txt"
}
# metric_value ADDRESS NAME: prints the value of the metric ibis_NAME.
metric_value() { curl -s "http://$1/metrics" | sed -n "s/^ibis_$2 //p"; }

write_base 500
apply
await_ready "${vms[@]}"
sleep 8
before_bytes=$(metric_value "$(entry_http vm-4)" control_bytes_sent_total)
before_messages=$(metric_value "$(entry_http vm-4)" control_messages_sent_total)
before_cpu=$(metric_value "$(entry_http vm-4)" cpu_seconds)
start_s=$(date +%s.%N)
for i in $(seq "$changes"); do
  write_base $((500 + i))
  start_ns=$(date +%s%N)
  apply
  echo $((($(date +%s%N) - start_ns) / 1000000)) >>"$run_dir/times"
done
for vm in "${vms[@]}"; do
  [ "$(metric_value "$(entry_http "$vm")" generation)" = $((changes + 1)) ] || echo "$vm has not applied the last change"
done
sort -n "$run_dir/times" | awk '{t[NR] = $1} END {
  printf "apply --wait on 7 VMs, %d changes: p50 %d ms, p99 %d ms, max %d ms (polled every 100 ms)\n", NR, t[int((NR + 1) / 2)], t[int(NR * 0.99 + 0.5)], t[NR]}'
sleep 10
awk -v b="$before_bytes" -v m="$before_messages" -v c="$before_cpu" -v s="$start_s" \
  -v e="$(date +%s.%N)" -v b2="$(metric_value "$(entry_http vm-4)" control_bytes_sent_total)" \
  -v m2="$(metric_value "$(entry_http vm-4)" control_messages_sent_total)" \
  -v c2="$(metric_value "$(entry_http vm-4)" cpu_seconds)" \
  -v r="$(metric_value "$(entry_http vm-4)" max_resident_mb)" 'BEGIN {
  t = e - s
  printf "an idle entry over %.0f s with these changes: %.0f bytes/s and %.1f messages/s of control traffic sent, %.2f%% of a core, %.0f MB\n", t, (b2 - b) / t, (m2 - m) / t, (c2 - c) / t * 100, r}'
victim=vm-5-relay
start_ns=$(date +%s%N)
kill -KILL "${pid_of[$victim]}"
until curl -s "http://$(entry_http vm-1)/v1/status" | grep -q '"node":"vm-5/relay","status":"dead"'; do
  sleep 0.02
done
echo "the death of a killed relay was detected after $((($(date +%s%N) - start_ns) / 1000000)) ms"
echo "platform calls: $(curl -s "http://$platform/v1/stats")"
