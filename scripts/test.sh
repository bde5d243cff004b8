#!/usr/bin/env bash
# Installs dependencies, builds the project and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
ctest --test-dir build --output-on-failure -j "$(nproc)"
