#!/usr/bin/env bash
# Runs a deployment's load over 7 VMs of real processes, once for each fault named, and
# prints a row for each: latency, coverage, outcomes, extra load, wrong answers, repeats.
#
#   bench/e2e.sh chladivo none kill_relay stop_relay ...
#   BASELINE=1 bench/e2e.sh chladivo none   # no hedges, replicas in turn
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build
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
  search=registry-search batch=member-reconcile store=custody-desk
  policy="mode: coverage_first, default_timeout_ms: 1000"
else
  zones=(macon florence augusta) kind=catalog data_seed=2
  search=counter-desk batch=ledger-sync store=reorder-watch
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
group_lines() { # PREFIX GROUPS SHARDS_PER_GROUP
  local group first
  for group in $(seq "$2"); do
    first=$(((group - 1) * $3))
    echo "      - {shards: {first: $first, last: $((first + $3 - 1))}, leafs: [$(leaf_line "$1-$group-1"), $(leaf_line "$1-$group-2")]}"
  done
}
leaf_line() { echo "{name: $1, address: \"$(leaf_address "$1")\", slots: 4, connections: 40}"; }

write_base() {
  {
    echo "availability_zones:"
    local zone
    for zone in "${zones[@]}"; do echo "  - {name: $zone}"; done
    echo "services:"
    echo "  $search:"
    echo "    tenant: $deployment"
    echo "    policy: {$policy}"
    echo "    groups:"
    group_lines "$search" 4 4
    echo "  $batch:"
    echo "    tenant: $deployment"
    echo "    policy: {mode: coverage_first, max_timeout_ms: 60000}"
    echo "    groups:"
    group_lines "$batch" 4 4
    echo "  $store:"
    echo "    tenant: $deployment"
    echo "    repeatable: false"
    echo "    groups:"
    group_lines "$store" 1 4
  } >"$run/base.yaml"
}

start_tier() {
  run=$(mktemp -d)
  pid_of=() zone_of=() vms=() leafs=()
  start_platform
  add_leafs "$search" 4 16
  add_leafs "$batch" 4 16
  add_leafs "$store" 1 4
  local n=0
  for n in 1 2 3 4 5 6 7; do
    start_vm "vm-$n" "${zones[$(((n - 1) % 3))]}"
  done
  write_base
  "$bin/src/programs/ibisctl" apply --platform "$platform" --author bench --note e2e --yes \
    --wait "$run/base.yaml" >/dev/null
  await_ready "${vms[@]}"
  if [ "$slow_share" != 0 ]; then
    local leaf
    for leaf in "${leafs[@]}"; do
      set_faults "$(leaf_address "$leaf")" "{\"slow_share\": $slow_share, \"slow_factor\": 10}"
    done
  fi
}

versions() { # TIMES: flips the index version of all leafs every second.
  local version leaf
  for version in $(seq 2 "$1"); do
    for leaf in "${leafs[@]}"; do
      set_faults "$(leaf_address "$leaf")" "{\"version\": $version}" &
    done
    sleep 1
  done
}

# inject FAULT: runs beside the load, from its third second on.
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
    leaf_lost) kill -KILL "${pid_of[$search-1-1]}" ;;
    silent) set_faults "$(leaf_address "$search-1-1")" '{"silent_existing": true}' ;;
    flips) versions 9 ;;
    moved)
      set_faults "$(leaf_address "$search-1-1")" '{"moved": [0, 1]}'
      sleep 3
      set_faults "$(leaf_address "$search-1-1")" '{"moved": []}'
      ;;
    platform_down) set_faults "$platform" '{"down": true}' ;;
    drain) set_faults "$(leaf_address "$search-1-1")" '{"draining": true}' ;;
    rolling) ;;
    *) echo "no fault is named $1" >&2 ;;
  esac
}

# A rolling restart starts processes, so that it must run in this shell.
rolling() {
  local vm
  sleep 3
  for vm in "${vms[@]}"; do
    stop TERM "$vm-entry" "$vm-relay"
    start_vm "$vm" "${zone_of[$vm]}"
    await_ready "$vm"
    sleep 0.5
  done
}

run_one() {
  local fault=$1 entries=() targets=() vm leaf
  start_tier
  for vm in "${vms[@]}"; do entries+=("$(entry_http "$vm")"); done
  for leaf in "${leafs[@]}"; do targets+=("$(leaf_address "$leaf")"); done
  local name="$deployment-$fault${BASELINE:+-baseline}"
  local time=$duration_ms
  [ "$fault" = rolling ] && time=$((duration_ms + 18000))
  "$bin/src/programs/ibis_load" run "examples/load/$deployment.yaml" --quiet --balance \
    --retry-elsewhere --name "$name" --rate "$rate" --duration-ms "$time" \
    --entry "${entries[@]}" --leaf "${targets[@]}" --result "$out/$name.json" \
    --report "$out/$name.html" >"$out/$name.txt" 2>&1 &
  local load=$!
  if [ "$fault" = rolling ]; then rolling; else inject "$fault"; fi
  wait "$load" || echo "  (ibis_load found something wrong)"
  cat "$out/$name.txt"
  grep -h '"cut_requests":"[1-9]' "$run"/*.log | head -3 || true
  stop_all
  [ "${KEEP_LOGS:-}" = 1 ] && cp -r "$run" "$out/$name.logs"
  rm -rf "$run"
}

. scripts/cluster.sh
run=/nonexistent
trap 'stop_all; rm -rf "$run"' EXIT
for fault in "$@"; do run_one "$fault"; done
