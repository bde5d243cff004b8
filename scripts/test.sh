#!/usr/bin/env bash
# Installs dependencies, builds the project and runs all tests. Tests that KNOWN-RED.txt
# lists as "ctest: NAME" run apart, and their failures do not count.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
mapfile -t red_tests < <(sed -n 's/^ctest: //p' KNOWN-RED.txt)
excluded=()
if [ ${#red_tests[@]} -gt 0 ]; then
  # ctest takes a regular expression; the names are escaped to match literally.
  pattern=$(printf '%s\n' "${red_tests[@]}" | sed 's/[][\.*^$+?(){}|]/\\&/g' | paste -sd '|')
  ctest --test-dir build -R "^($pattern)$" || echo "Tests known to fail have failed."
  excluded=(-E "^($pattern)$")
fi
ctest --test-dir build --output-on-failure -j "$(nproc)" "${excluded[@]}"
