#!/usr/bin/env bash
# Works out docs/CAPACITY.md's table from measured slopes. Each slope is an argument with
# the measured value as its default; the command that measures it stands beside it.
set -euo pipefail

nodes=${NODES:-920}               # VMs, each an entry and a relay
zones=${ZONES:-4}
leafs=${LEAFS:-6700}
queries=${QUERIES:-150000}        # a second, in all
fan_out=${FAN_OUT:-380}           # leaf requests of a query
groups_per_block=${GROUPS_PER_BLOCK:-8}

relay_us=${RELAY_US:-2.67}        # reducer, for a leaf request: bench_reducer
entry_us=${ENTRY_US:-346.9}       # reducer, for a query of that fan-out: bench_reducer
leaf_http_us=${LEAF_HTTP_US:-205.3}  # client's HTTP, for a leaf request: bench_path
frame_us=${FRAME_US:-11.2}        # encode, send, receive, decode a block: bench_path
flight_bytes=${FLIGHT_BYTES:-898} # for a leaf request in flight: bench_reducer
latency_ms=${LATENCY_MS:-10}      # of a leaf request, for what is in flight
control_bytes=${CONTROL_BYTES:-1232}     # sent a second by a member: bench_control
control_messages=${CONTROL_MESSAGES:-5.4} # sent a second by a member: bench_control
control_cpu_base=${CONTROL_CPU_BASE:-0.0017}  # percent of a core: bench_control
control_cpu_slope=${CONTROL_CPU_SLOPE:-0.00005} # for each member: bench_control
state_base_kb=${STATE_BASE_KB:-37} # of a member: bench_control
state_slope_kb=${STATE_SLOPE_KB:-0.55} # for each other member: bench_control
part_kb=${PART_KB:-681}           # the whole configuration: bench_control
platform_calls=${PLATFORM_CALLS:-9.9} # a second, 2 watchers in each of 4 zones: bench_control

awk -v nodes="$nodes" -v zones="$zones" -v leafs="$leafs" -v queries="$queries" \
  -v fan="$fan_out" -v block="$groups_per_block" -v relay_us="$relay_us" \
  -v entry_us="$entry_us" -v http_us="$leaf_http_us" -v frame_us="$frame_us" \
  -v flight="$flight_bytes" -v latency="$latency_ms" -v cb="$control_bytes" \
  -v cm="$control_messages" -v cpu0="$control_cpu_base" -v cpu1="$control_cpu_slope" \
  -v s0="$state_base_kb" -v s1="$state_slope_kb" -v part="$part_kb" \
  -v calls="$platform_calls" 'BEGIN {
  members = 2 * nodes
  q = queries / nodes
  leaf_requests = queries * fan / nodes
  blocks = q * fan / block
  held = leafs * zones / nodes
  connections = int(25 * 0.75 / zones)
  printf "members %d, queries/s for an entry %.0f, leaf requests/s for a relay %.0f\n", members, q, leaf_requests
  printf "blocks/s for an entry %.0f, for a relay %.0f\n", blocks, blocks
  printf "leafs that a relay holds %.0f, connections %.0f (control ones included)\n\n", held, held * connections
  printf "| role | state | messages/s | processor | memory |\n|---|---|---|---|---|\n"
  entry_cpu = q * entry_us / 1e4 + blocks * 2 * frame_us / 1e4
  printf "| entry, requests | %.0f queries in flight | %.0f block requests, as many replies | %.0f%% of a core | %.1f MB |\n", q * latency / 1000, blocks, entry_cpu, q * latency / 1000 * fan * flight / 1e6
  relay_cpu = leaf_requests * (relay_us + http_us) / 1e4 + blocks * 2 * frame_us / 1e4
  printf "| relay, requests | %.0f leaf requests in flight, %.0f connections and threads | %.0f leaf requests, %.0f blocks | %.0f%% of a core, of it the reducer %.0f%% | %.1f MB and %.0f MB of touched stacks |\n", leaf_requests * latency / 1000, held * connections, leaf_requests, blocks, relay_cpu, leaf_requests * relay_us / 1e4, leaf_requests * latency / 1000 * flight / 1e6, held * connections * 0.1
  mcpu = cpu0 + cpu1 * members + cm * 4 * frame_us / 1e4
  printf "| member, control (each process) | %d members, %d KB of parts | %.1f sent, as many received | %.2f%% of a core | %.1f MB |\n", members, part, cm, mcpu, (s0 + s1 * members + part * 2) / 1024
  printf "| node, control (both processes) | | %.1f sent | %.2f%% of a core (2.4%% allowed) | %.1f MB (256 allowed); %.1f KB/s sent, as much received (8 allowed) |\n", 2 * cm, 2 * mcpu, 2 * (s0 + s1 * members + part * 2) / 1024, 2 * cb / 1024
  printf "| watcher, beside that | a watch and a poll | %.2f calls of the platform | as a member | as a member |\n", calls / (2 * zones)
  printf "| platform, configuration | a manifest and %d parts | %.1f calls, the watches among them | | %.1f MB |\n", 42, calls, part / 1024
}'
