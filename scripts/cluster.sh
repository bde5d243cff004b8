# Functions that start a small tier on loopback and stop what they started. Sourced by
# the demo and by the end-to-end measurements; needs $bin (programs) and $run (a folder).

declare -A pid_of=()

# await_file FILE: waits until a process has announced its addresses.
await_file() {
  local tries=0
  until [ -s "$1" ]; do
    tries=$((tries + 1))
    [ "$tries" -lt 400 ] || { echo "no process wrote $1" >&2; return 1; }
    sleep 0.025
  done
}

# value_of FILE NAME: an announced address.
value_of() { sed -n "s/^$2=//p" "$1"; }

# start NAME COMMAND...: starts a process and remembers its id.
start() {
  local name=$1
  shift
  [ -s "$run/$name.addr" ] && mv "$run/$name.addr" "$run/$name.addr.old"
  "$@" --announce "$run/$name.addr" >"$run/$name.out" 2>>"$run/$name.log" &
  pid_of[$name]=$!
  await_file "$run/$name.addr"
}

# stop SIGNAL NAME...: ends processes by id and waits for them.
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
  start platform "$bin/standins/ibis_standin_platform"
  platform=$(value_of "$run/platform.addr" platform)
}

# start_leaf NAME OPTIONS...: one stand-in leaf.
start_leaf() {
  local name=$1
  shift
  start "$name" "$bin/standins/ibis_standin_leaf" --name "$name" "$@"
}

leaf_address() { value_of "$run/$1.addr" "$1"; }

# write_settings VM ZONE: a settings file whose seeds are the VMs that run already.
write_settings() {
  local vm=$1 zone=$2 other
  {
    echo "vm: $vm"
    echo "availability_zone: $zone"
    echo "platform: \"$platform\""
    if [ "${fixed_ports:-}" = 1 ]; then
      # Restarted VMs keep their addresses: an IP number of their own, the usual ports.
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
        "entry: \"$(value_of "$run/$other-entry.addr" frames)\"," \
        "relay: \"$(value_of "$run/$other-relay.addr" frames)\"}"
    done
  } >"$run/$vm.yaml"
  # An empty list is written as such.
  sed -i '${/^seeds:$/s/$/ []/}' "$run/$vm.yaml"
}

declare -A zone_of=()
vms=()

# start_vm VM ZONE: an entry and a relay.
start_vm() {
  local vm=$1 zone=$2
  write_settings "$vm" "$zone"
  start "$vm-relay" "$bin/src/programs/ibis_relay" --settings "$run/$vm.yaml"
  start "$vm-entry" "$bin/src/programs/ibis_entry" --settings "$run/$vm.yaml"
  zone_of[$vm]=$zone
  case " ${vms[*]:-} " in *" $vm "*) ;; *) vms+=("$vm") ;; esac
}

entry_http() { value_of "$run/$1-entry.addr" http; }
relay_http() { value_of "$run/$1-relay.addr" http; }

# await_ready VM...: waits until entries serve.
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

# set_faults ADDRESS JSON: switches faults of a stand-in.
set_faults() { curl -sf -X POST "http://$1/v1/faults" -d "$2" >/dev/null; }
