#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
[ -x target/review-2/store_drill ] && [ -x target/bin/ibis_node ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
target/review-2/store_drill "$case_folder" "$folder"
