#!/usr/bin/env bash
# Runs the case of a folder: run_case.sh FOLDER. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
case_folder="$(cd "$1" && pwd)"
root="$(cd "$case_folder/../.." && pwd)"
number="$(basename "$case_folder")"
# The command of a role, as the deploy file has it.
command_of() {
    sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"$/\1/p" "$root/deploy/system.toml"
}
edge="$(command_of edge)"
storage="$(command_of storage)"
program="$root/target/review/case-$number"
for each in "$program" "$root/${edge%% *}" "$root/${storage%% *}"; do
    [ -x "$each" ] || { echo "missing: $each" >&2; exit 2; }
done
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
timeout --signal=KILL 118 "$program" "$root" "$folder" "$case_folder/record.txt" "$edge" "$storage" "${TROUBLE:-1}"
result=$?
[ "$result" -le 1 ] || result=2
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS/"
exit "$result"
