#!/usr/bin/env bash
# Runs every benchmark one after another (or those named), keeps each JSON line under build/bench, and prints one row a figure. Exit 1: a target was missed.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=build/release/bin/reedtrail-bench
mkdir -p build/bench
if [ $# -gt 0 ]; then names=("$@"); else mapfile -t names < <("$bench" --list | cut -d' ' -f1); fi
missed=0
for name in "${names[@]}"; do
    echo "== $name" >&2
    "$bench" "$name" > "build/bench/$name.json" || missed=1
done
python3 scripts/bench_table.py "${names[@]/#/build/bench/}"
exit "$missed"
