#!/usr/bin/env bash
# Runs clang-tidy on all sources except tests, or on the given files, using all cores.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' |
    grep -v _test.cpp | grep -v tests/)
else
  files=("$@")
fi
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option
