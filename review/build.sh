#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/review. Needs the packages of the deploy file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/*/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. "$source" review/standins/platform.cpp -o "target/review/case-$number" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
