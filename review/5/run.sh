#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../standins/run_case.sh" "$(dirname "$0")"
