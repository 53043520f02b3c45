#!/usr/bin/env bash
# Builds and runs every test. Option --sanitizers also runs them under the address+undefined and the thread sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
run_preset() {
    ./scripts/build.sh "$1"
    ctest --test-dir "build/$1" --output-on-failure -j "$(nproc)"
}
run_preset release
if [ "${1:-}" = "--sanitizers" ]; then
    run_preset asan
    run_preset tsan
fi
