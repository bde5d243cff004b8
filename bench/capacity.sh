#!/usr/bin/env bash
# Computes the table of docs/CAPACITY.md from measured costs. Each cost can be set by an
# environment variable; the default is the measured value, and the comment names the
# benchmark that measures it.
set -euo pipefail

nodes=${NODES:-920}                           # VMs, each with an entry and a relay
zones=${ZONES:-4}
leafs=${LEAFS:-6700}
queries=${QUERIES:-150000}                    # per second, in total
fan_out=${FAN_OUT:-380}                       # leaf requests per query
groups_per_block=${GROUPS_PER_BLOCK:-8}

relay_us=${RELAY_US:-2.67}                    # reducer, per leaf request: bench_reducer
entry_us=${ENTRY_US:-346.9}                   # reducer, per query of that fan-out: bench_reducer
leaf_http_us=${LEAF_HTTP_US:-205.3}           # HTTP client, per leaf request: bench_path
frame_us=${FRAME_US:-11.2}                    # to encode, send, receive and decode a block: bench_path
in_flight_bytes=${FLIGHT_BYTES:-898}          # per leaf request in flight: bench_reducer
latency_ms=${LATENCY_MS:-10}                  # of a leaf request; gives the number in flight
control_bytes=${CONTROL_BYTES:-1232}          # sent per second by a member: bench_control
control_messages=${CONTROL_MESSAGES:-5.4}     # sent per second by a member: bench_control
control_cpu_base=${CONTROL_CPU_BASE:-0.0017}  # percent of a core: bench_control
control_cpu_slope=${CONTROL_CPU_SLOPE:-0.00005} # percent of a core per member: bench_control
state_base_kb=${STATE_BASE_KB:-37}            # memory of a member: bench_control
state_slope_kb=${STATE_SLOPE_KB:-0.55}        # memory per other member: bench_control
configuration_kb=${PART_KB:-681}              # the whole configuration: bench_control
platform_calls=${PLATFORM_CALLS:-9.9}         # per second, with 2 watchers in each of 4 zones: bench_control

awk -v nodes="$nodes" -v zones="$zones" -v leafs="$leafs" -v queries="$queries" \
  -v fan_out="$fan_out" -v groups_per_block="$groups_per_block" -v relay_us="$relay_us" \
  -v entry_us="$entry_us" -v leaf_http_us="$leaf_http_us" -v frame_us="$frame_us" \
  -v in_flight_bytes="$in_flight_bytes" -v latency_ms="$latency_ms" \
  -v control_bytes="$control_bytes" -v control_messages="$control_messages" \
  -v control_cpu_base="$control_cpu_base" -v control_cpu_slope="$control_cpu_slope" \
  -v state_base_kb="$state_base_kb" -v state_slope_kb="$state_slope_kb" \
  -v configuration_kb="$configuration_kb" -v platform_calls="$platform_calls" 'BEGIN {
  members = 2 * nodes
  queries_per_entry = queries / nodes
  leaf_requests = queries * fan_out / nodes
  blocks_per_s = queries_per_entry * fan_out / groups_per_block
  leafs_per_relay = leafs * zones / nodes
  connections = int(25 * 0.75 / zones)
  printf "members %d, queries/s per entry %.0f, leaf requests/s per relay %.0f\n", members, queries_per_entry, leaf_requests
  printf "blocks/s per entry %.0f, per relay %.0f\n", blocks_per_s, blocks_per_s
  printf "leafs per relay %.0f, connections %.0f (including control connections)\n\n", leafs_per_relay, leafs_per_relay * connections
  printf "| role | state | messages/s | CPU | memory |\n|---|---|---|---|---|\n"
  entry_cpu = queries_per_entry * entry_us / 1e4 + blocks_per_s * 2 * frame_us / 1e4
  printf "| entry, requests | %.0f queries in flight | %.0f block requests and as many replies | %.0f%% of a core | %.1f MB |\n", queries_per_entry * latency_ms / 1000, blocks_per_s, entry_cpu, queries_per_entry * latency_ms / 1000 * fan_out * in_flight_bytes / 1e6
  relay_cpu = leaf_requests * (relay_us + leaf_http_us) / 1e4 + blocks_per_s * 2 * frame_us / 1e4
  printf "| relay, requests | %.0f leaf requests in flight, %.0f connections and threads | %.0f leaf requests, %.0f blocks | %.0f%% of a core, including %.0f%% for the reducer | %.1f MB and %.0f MB of touched stacks |\n", leaf_requests * latency_ms / 1000, leafs_per_relay * connections, leaf_requests, blocks_per_s, relay_cpu, leaf_requests * relay_us / 1e4, leaf_requests * latency_ms / 1000 * in_flight_bytes / 1e6, leafs_per_relay * connections * 0.1
  control_cpu = control_cpu_base + control_cpu_slope * members + control_messages * 4 * frame_us / 1e4
  printf "| member, control (per process) | %d members, %d KB of parts | %.1f sent and as many received | %.2f%% of a core | %.1f MB |\n", members, configuration_kb, control_messages, control_cpu, (state_base_kb + state_slope_kb * members + configuration_kb * 2) / 1024
  printf "| node, control (both processes) | | %.1f sent | %.2f%% of a core (2.4%% allowed) | %.1f MB (256 allowed); %.1f KB/s sent and as much received (8 allowed) |\n", 2 * control_messages, 2 * control_cpu, 2 * (state_base_kb + state_slope_kb * members + configuration_kb * 2) / 1024, 2 * control_bytes / 1024
  printf "| watcher, in addition | a watch and a poll | %.2f platform calls | as a member | as a member |\n", platform_calls / (2 * zones)
  printf "| platform, configuration | a manifest and %d parts | %.1f calls, including watches | | %.1f MB |\n", 42, platform_calls, configuration_kb / 1024
}'
