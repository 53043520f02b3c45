#!/usr/bin/env bash
# Plays the regression runs on the users' bench: hunts on each site, then one score each. Arguments: the bench's program, the folder of its site files.
# Example: scripts/regression.sh PATH/fleetbench PATH/system [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 2 ] || { echo "usage: $0 BENCH FOLDER [JOBS]" >&2; exit 2; }
bench="$1"
folder="$2"
jobs="${3:-3}"
# Site file and days to hunt: 8 on sites of 60 machines or more, 40 on others.
sites=(
    "sites/entoto-bothy 40"
    "sites/mesa-comun 40"
    "large/entoto-bothy-large 8"
    "further-grown/brownstone-pitch-grown 8"
    "further/brownstone-pitch 40"
    "grown/entoto-bothy-grown 8"
    "grown/mesa-comun-grown 8"
)
for entry in "${sites[@]}"; do
    read -r site days <<<"$entry"
    "$bench" hunt "$folder/$site.toml" --days "$days" --jobs "$jobs"
    "$bench" score "$folder/$site.toml" --jobs "$jobs" --why "regression run"
done
