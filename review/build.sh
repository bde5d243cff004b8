#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts in target/review. The build of the deploy
# file comes first: the scripts run its target/bin/ibis_node.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Ireview/standin "$source" -o "target/review/case-$name"
done
