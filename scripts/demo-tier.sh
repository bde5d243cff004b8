#!/usr/bin/env bash
# Starts a small tier of entries and relays on loopback, sends it real queries, kills a
# leaf meanwhile, and shows answers, coverage and latency. Stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh | tail -1
build_dir=$PWD/build
run_dir=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_all; rm -rf "$run_dir"' EXIT
print_heading() { printf '\n== %s\n' "$*"; }

print_heading "Platform, six leafs and two VMs in two availability zones"
start_platform
for leaf in reg-a1 reg-a2 reg-b1 reg-b2; do
  start_leaf "$leaf" --kind registry --shards 8 --records 4000 --setup-ms 6 --service-us 3000
done
for leaf in cat-1 cat-2; do
  start_leaf "$leaf" --kind catalog --shards 4 --records 3000 --setup-ms 6 --service-us 3000
done
start_vm praha-a-1 praha-a
start_vm brno-b-1 brno-b
leaf_yaml() { echo "{name: $1, address: \"$(leaf_address "$1")\"}"; }
cat >"$run_dir/base.yaml" <<YAML
availability_zones:
  - {name: praha-a, region: bohemia}
  - {name: brno-b, region: moravia}
services:
  registry-search:
    tenant: chladivo
    policy: {mode: coverage_first, default_timeout_ms: 1000}
    groups:
      - {shards: {first: 0, last: 3}, leafs: [$(leaf_yaml reg-a1), $(leaf_yaml reg-a2)]}
      - {shards: {first: 4, last: 7}, leafs: [$(leaf_yaml reg-b1), $(leaf_yaml reg-b2)]}
  counter-desk:
    tenant: pettigrew
    policy: {mode: latency_first, min_coverage: 0.7, answer_by_ms: 100}
    groups:
      - {shards: {first: 0, last: 3}, leafs: [$(leaf_yaml cat-1), $(leaf_yaml cat-2)]}
YAML

print_heading "Applying the configuration"
"$build_dir/src/programs/ibisctl" apply --platform "$platform" --author demo --note "first" \
  --yes --wait "$run_dir/base.yaml"
await_ready praha-a-1 brno-b-1

# send_query VM SERVICE TENANT QUERY: sends a query, counts it, and counts an answer that
# is not complete; prints the answer unless $quiet is yes.
incomplete=0
sent=0
send_query() {
  local body elapsed_s
  elapsed_s=$(curl -s -o "$run_dir/answer.json" -w '%{time_total}' -X POST \
    -H "Ibis-Tenant: $3" -H 'Ibis-Class: interactive' -H 'Ibis-Timeout-Ms: 900' \
    -d "{\"query\": \"$4\", \"limit\": 3}" \
    "http://$(entry_http "$1")/v1/services/$2/query")
  sent=$((sent + 1))
  body=$(cat "$run_dir/answer.json")
  grep -q '"outcome":"complete"' "$run_dir/answer.json" || incomplete=$((incomplete + 1))
  [ "${quiet:-}" = yes ] || printf '%s queries %-15s %-20s %s s\n   %.300s\n' \
    "$1" "$2" "'$4'" "$elapsed_s" "$body"
}

print_heading "Queries"
send_query praha-a-1 registry-search chladivo "R600a cyclopentane"
send_query brno-b-1 registry-search chladivo "CZ-100042"
send_query brno-b-1 counter-desk pettigrew "thermal roll 57"

print_heading "200 queries; leaf reg-a1 is killed during the run"
quiet=yes
for i in $(seq 200); do
  [ "$i" -eq 80 ] && stop KILL reg-a1
  send_query "$([ $((i % 2)) -eq 0 ] && echo praha-a-1 || echo brno-b-1)" registry-search chladivo \
    "R134a R11"
done
echo "$sent queries, $incomplete not complete"

print_heading "Latency by tenant and class, coverage, extra load"
for vm in praha-a-1 brno-b-1; do
  curl -s "http://$(entry_http "$vm")/metrics" |
    grep -E 'latency_ms_(sum|count)|shards_(covered|asked)|answers_total' | sed "s/^/$vm /"
  curl -s "http://$(relay_http "$vm")/metrics" |
    grep -E '^ibis_leaf_(first_attempts|hedges|retries)_total' | sed "s/^/$vm /"
done

print_heading "Graceful stop"
stop_all
[ "$incomplete" -eq 0 ] || { echo "some answers were not complete"; exit 1; }
echo "all answers were complete"
