# Functions that start and stop the processes of a small tier on loopback. Sourced by the
# demos and the end-to-end benchmarks, which set $build_dir (where the programs are built)
# and $run_dir (for settings, address files and logs).

declare -A pid_of=()

# await_file FILE: waits up to 10 s until a process has written its addresses to FILE.
await_file() {
  local tries=0
  until [ -s "$1" ]; do
    tries=$((tries + 1))
    [ "$tries" -lt 400 ] || { echo "timed out waiting for a process to write $1" >&2; return 1; }
    sleep 0.025
  done
}

# address_of FILE NAME: prints the address that FILE lists under NAME.
address_of() { sed -n "s/^$2=//p" "$1"; }

# start NAME COMMAND...: starts a process in the background, records its PID under NAME
# and waits until it has announced its addresses.
start() {
  local name=$1
  shift
  [ -s "$run_dir/$name.addr" ] && mv "$run_dir/$name.addr" "$run_dir/$name.addr.old"
  "$@" --announce "$run_dir/$name.addr" >"$run_dir/$name.out" 2>>"$run_dir/$name.log" &
  pid_of[$name]=$!
  await_file "$run_dir/$name.addr"
}

# stop SIGNAL NAME...: sends a signal to processes and waits until they have exited.
stop() {
  local signal=$1 name
  shift
  for name in "$@"; do kill "-$signal" "${pid_of[$name]}" 2>/dev/null || true; done
  for name in "$@"; do wait "${pid_of[$name]}" 2>/dev/null || true; unset "pid_of[$name]"; done
}

stop_all() {
  local name
  for name in "${!pid_of[@]}"; do kill -CONT "${pid_of[$name]}" 2>/dev/null || true; done
  stop TERM "${!pid_of[@]}" 2>/dev/null || true
}

start_platform() {
  start platform "$build_dir/standins/ibis_standin_platform"
  platform=$(address_of "$run_dir/platform.addr" platform)
}

# start_leaf NAME OPTIONS...: starts a stand-in leaf.
start_leaf() {
  local name=$1
  shift
  start "$name" "$build_dir/standins/ibis_standin_leaf" --name "$name" "$@"
}

leaf_address() { address_of "$run_dir/$1.addr" "$1"; }

# write_settings VM ZONE: writes a settings file whose seeds are the VMs started so far.
write_settings() {
  local vm=$1 zone=$2 other
  {
    echo "vm: $vm"
    echo "availability_zone: $zone"
    echo "platform: \"$platform\""
    if [ "${fixed_ports:-}" = 1 ]; then
      # Each VM has a loopback IP address of its own and the default ports, so that it
      # keeps its addresses across restarts.
      echo "ip: 127.77.0.${vm##*-}"
    else
      echo "ports: {entry: 0, relay: 0, entry_http: 0, relay_http: 0}"
    fi
    echo "log: {form: json}"
    echo "http_threads: ${http_threads:-64}"
    echo "stop: {handover_ms: ${handover_ms:-1500}, limit_ms: 20000}"
    echo "seeds:"
    for other in "${vms[@]:-}"; do
      [ -n "$other" ] && [ "$other" != "$vm" ] || continue
      echo "  - {vm: $other, availability_zone: ${zone_of[$other]}," \
        "entry: \"$(address_of "$run_dir/$other-entry.addr" frames)\"," \
        "relay: \"$(address_of "$run_dir/$other-relay.addr" frames)\"}"
    done
  } >"$run_dir/$vm.yaml"
  # Without seeds, writes an explicit empty list.
  sed -i '${/^seeds:$/s/$/ []/}' "$run_dir/$vm.yaml"
}

declare -A zone_of=()
vms=()

# start_vm VM ZONE: starts a relay and an entry.
start_vm() {
  local vm=$1 zone=$2
  write_settings "$vm" "$zone"
  start "$vm-relay" "$build_dir/src/programs/ibis_relay" --settings "$run_dir/$vm.yaml"
  start "$vm-entry" "$build_dir/src/programs/ibis_entry" --settings "$run_dir/$vm.yaml"
  zone_of[$vm]=$zone
  case " ${vms[*]:-} " in *" $vm "*) ;; *) vms+=("$vm") ;; esac
}

entry_http() { address_of "$run_dir/$1-entry.addr" http; }
relay_http() { address_of "$run_dir/$1-relay.addr" http; }

# await_ready VM...: waits up to 10 s for each until the entries of these VMs are ready.
await_ready() {
  local vm tries
  for vm in "$@"; do
    tries=0
    until curl -sf "http://$(entry_http "$vm")/readyz" >/dev/null; do
      tries=$((tries + 1))
      [ "$tries" -lt 400 ] || { echo "$vm is not ready" >&2; return 1; }
      sleep 0.025
    done
  done
}

# set_faults ADDRESS JSON: sets the injected faults of a stand-in.
set_faults() { curl -sf -X POST "http://$1/v1/faults" -d "$2" >/dev/null; }
