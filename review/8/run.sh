#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/reedtrail-edge ] && [ -x target/bin/reedtrail-storage ] && [ -x target/review/case-8 ] || exit 2
TROUBLE="${TROUBLE:-1}" timeout --kill-after=5 115 target/review/case-8
result=$?
case "$result" in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
