#!/usr/bin/env bash
# Formats all C++ sources; with --check only reports those that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode="-i"
[ "${1:-}" = "--check" ] && mode="--dry-run --Werror"
# shellcheck disable=SC2086
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r -P "$(nproc)" -n 16 clang-format $mode
