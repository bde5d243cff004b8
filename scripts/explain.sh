#!/usr/bin/env bash
# Prints all log lines of one request from the logs of several nodes, in order of time.
#
#   scripts/explain.sh REQUEST LOG...
set -euo pipefail
[ $# -ge 2 ] || { echo "usage: explain.sh REQUEST LOG..." >&2; exit 2; }
request=$1
shift
lines=$(grep -hoE '\{"time".*\}' "$@" | grep -F "\"request\":\"$request\"" | sort) || {
  echo "no log line found for request $request" >&2
  exit 1
}
printf '%s\n' "$lines" |
  sed -E 's/^\{"time":"[^T]*T([^"]*)Z","level":"([a-z]*)","node":"([^"]*)","event":"([^"]*)"/\1 \3 \4/;
          s/,"request":"[^"]*"//; s/,"([a-z_]*)":"([^"]*)"/  \1=\2/g; s/\}$//'
