#!/usr/bin/env bash
# Regenerates the committed FlatBuffers header. Needs Debian's package
# flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums --filename-suffix _generated \
  -o include/ibis/wire/generated include/ibis/wire/frames.fbs
