#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/ibis_node ] && [ -x target/review/case-4 ] || exit 2
exec target/review/case-4 review/4/record.txt
