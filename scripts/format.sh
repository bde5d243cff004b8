#!/usr/bin/env bash
# Formats all C++ sources; with --check, changes nothing and fails if a file is not
# formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run --Werror"
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v /generated/ |
  xargs clang-format $mode
