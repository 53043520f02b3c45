#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out. Build first: review/build-3.sh
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/streams_of_lost_node_case
[ -x "$program" ] && [ -x target/bin/reedtrail-edge ] || exit 2
timeout 118 "$program" review/12
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
