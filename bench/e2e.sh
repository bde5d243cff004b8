#!/usr/bin/env bash
# Runs a deployment's load on a tier of 7 VMs of real processes, once per given fault, and
# prints the result of each run: latency, coverage, outcomes, extra load, wrong answers and
# submits that ran more than once.
#
#   bench/e2e.sh chladivo none kill_relay stop_relay ...
#   BASELINE=1 bench/e2e.sh chladivo none   # no hedges, replicas in round-robin order
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=$PWD/build
deployment=$1
shift
duration_ms=${DURATION_MS:-12000}
rate=${RATE:-250}
slow_share=${SLOW_SHARE:-0}
out=${OUT:-$(mktemp -d)}
mkdir -p "$out"
handover_ms=1000
fixed_ports=1
http_threads=220

if [ "$deployment" = chladivo ]; then
  zones=(praha-a brno-b ostrava-c) kind=registry data_seed=1
  search_service=registry-search batch_service=member-reconcile submit_service=custody-desk
  policy="mode: coverage_first, default_timeout_ms: 1000"
else
  zones=(macon florence augusta) kind=catalog data_seed=2
  search_service=counter-desk batch_service=ledger-sync submit_service=reorder-watch
  policy="mode: latency_first, min_coverage: 0.9, answer_by_ms: 80, default_timeout_ms: 400"
fi
[ "${BASELINE:-}" = 1 ] && policy="$policy, hedge_budget: 0, retry_budget: 1, replica_choice: round_robin"

leafs=()
add_leafs() { # PREFIX GROUPS SHARDS
  local group replica
  for group in $(seq "$2"); do
    for replica in 1 2; do
      leafs+=("$1-$group-$replica")
      start_leaf "$1-$group-$replica" --kind "$kind" --seed "$data_seed" --shards "$3" \
        --records 4000 --slots 4 --connections 40 --service-us 2000 --setup-ms 6
    done
  done
}
write_groups() { # PREFIX GROUPS SHARDS_PER_GROUP
  local group first
  for group in $(seq "$2"); do
    first=$(((group - 1) * $3))
    echo "      - {shards: {first: $first, last: $((first + $3 - 1))}, leafs: [$(leaf_yaml "$1-$group-1"), $(leaf_yaml "$1-$group-2")]}"
  done
}
leaf_yaml() { echo "{name: $1, address: \"$(leaf_address "$1")\", slots: 4, connections: 40}"; }

write_base() {
  {
    echo "availability_zones:"
    local zone
    for zone in "${zones[@]}"; do echo "  - {name: $zone}"; done
    echo "services:"
    echo "  $search_service:"
    echo "    tenant: $deployment"
    echo "    policy: {$policy}"
    echo "    groups:"
    write_groups "$search_service" 4 4
    echo "  $batch_service:"
    echo "    tenant: $deployment"
    echo "    policy: {mode: coverage_first, max_timeout_ms: 60000}"
    echo "    groups:"
    write_groups "$batch_service" 4 4
    echo "  $submit_service:"
    echo "    tenant: $deployment"
    echo "    repeatable: false"
    echo "    groups:"
    write_groups "$submit_service" 1 4
  } >"$run_dir/base.yaml"
}

# start_tier: starts the platform, leafs and VMs, and applies the configuration.
start_tier() {
  run_dir=$(mktemp -d)
  pid_of=() zone_of=() vms=() leafs=()
  start_platform
  add_leafs "$search_service" 4 16
  add_leafs "$batch_service" 4 16
  add_leafs "$submit_service" 1 4
  local n=0
  for n in 1 2 3 4 5 6 7; do
    start_vm "vm-$n" "${zones[$(((n - 1) % 3))]}"
  done
  write_base
  "$build_dir/src/programs/ibisctl" apply --platform "$platform" --author bench --note e2e --yes \
    --wait "$run_dir/base.yaml" >/dev/null
  await_ready "${vms[@]}"
  if [ "$slow_share" != 0 ]; then
    local leaf
    for leaf in "${leafs[@]}"; do
      set_faults "$(leaf_address "$leaf")" "{\"slow_share\": $slow_share, \"slow_factor\": 10}"
    done
  fi
}

# advance_versions LAST: raises the index version of all leafs every second, from 2 to LAST.
advance_versions() {
  local version leaf
  for version in $(seq 2 "$1"); do
    for leaf in "${leafs[@]}"; do
      set_faults "$(leaf_address "$leaf")" "{\"version\": $version}" &
    done
    sleep 1
  done
}

# inject FAULT: injects a fault 4 s after the start of the load, which runs meanwhile.
inject() {
  sleep 4
  case $1 in
    none) ;;
    kill_relay) kill -KILL "${pid_of[vm-1-relay]}" ;;
    kill_entry) kill -KILL "${pid_of[vm-1-entry]}" ;;
    stop_relay)
      kill -STOP "${pid_of[vm-1-relay]}"
      sleep 5
      kill -CONT "${pid_of[vm-1-relay]}"
      ;;
    leaf_lost) kill -KILL "${pid_of[$search_service-1-1]}" ;;
    silent) set_faults "$(leaf_address "$search_service-1-1")" '{"silent_existing": true}' ;;
    flips) advance_versions 9 ;;
    moved)
      set_faults "$(leaf_address "$search_service-1-1")" '{"moved": [0, 1]}'
      sleep 3
      set_faults "$(leaf_address "$search_service-1-1")" '{"moved": []}'
      ;;
    platform_down) set_faults "$platform" '{"down": true}' ;;
    drain) set_faults "$(leaf_address "$search_service-1-1")" '{"draining": true}' ;;
    rolling) ;;
    *) echo "unknown fault: $1" >&2 ;;
  esac
}

# Restarts the VMs one after another. It must run in this shell and not in a subshell, as
# it starts processes and records their PIDs.
rolling_restart() {
  local vm
  sleep 3
  for vm in "${vms[@]}"; do
    stop TERM "$vm-entry" "$vm-relay"
    start_vm "$vm" "${zone_of[$vm]}"
    await_ready "$vm"
    sleep 0.5
  done
}

# run_with_fault FAULT: starts a tier, runs the load with the fault and stops the tier.
run_with_fault() {
  local fault=$1 entry_addresses=() leaf_addresses=() vm leaf
  start_tier
  for vm in "${vms[@]}"; do entry_addresses+=("$(entry_http "$vm")"); done
  for leaf in "${leafs[@]}"; do leaf_addresses+=("$(leaf_address "$leaf")"); done
  local name="$deployment-$fault${BASELINE:+-baseline}"
  local load_ms=$duration_ms
  [ "$fault" = rolling ] && load_ms=$((duration_ms + 18000))
  "$build_dir/src/programs/ibis_load" run "examples/load/$deployment.yaml" --quiet --balance \
    --retry-elsewhere --name "$name" --rate "$rate" --duration-ms "$load_ms" \
    --entry "${entry_addresses[@]}" --leaf "${leaf_addresses[@]}" --result "$out/$name.json" \
    --report "$out/$name.html" >"$out/$name.txt" 2>&1 &
  local load_pid=$!
  if [ "$fault" = rolling ]; then rolling_restart; else inject "$fault"; fi
  wait "$load_pid" || { echo "  (ibis_load failed or reported wrong results)"; failed=1; }
  cat "$out/$name.txt"
  grep -h '"cut_requests":"[1-9]' "$run_dir"/*.log | head -3 || true
  stop_all
  [ "${KEEP_LOGS:-}" = 1 ] && cp -r "$run_dir" "$out/$name.logs"
  rm -rf "$run_dir"
}

. scripts/cluster.sh
run_dir=/nonexistent  # Until the first run creates one, for the trap.
trap 'stop_all; rm -rf "$run_dir"' EXIT
failed=0
for fault in "$@"; do run_with_fault "$fault"; done
exit "$failed"
