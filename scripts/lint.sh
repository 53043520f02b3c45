#!/usr/bin/env bash
# Runs clang-tidy over the sources: all, or those named. Results are kept by content under build/lint (or $REEDTRAIL_LINT_CACHE), so only what changed is read again.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/release/compile_commands.json ] || cmake --preset release >/dev/null
stamps="${REEDTRAIL_LINT_CACHE:-build/lint}"
mkdir -p "$stamps"
export stamps
# clang-tidy cannot read the precompiled headers of g++, so the compile commands are given to it without them.
mkdir -p build/lint-commands
sed -E 's/-Winvalid-pch//g; s/-include [^ "]*cmake_pch\.hxx//g' build/release/compile_commands.json > build/lint-commands/compile_commands.json
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp'); fi
headers=$(git ls-files -co --exclude-standard '*.h' | sort | xargs cat .clang-tidy | sha256sum)
export headers
lint_one() {
    local stamp
    stamp="$stamps/$( (echo "$headers"; cat "$1") | sha256sum | cut -c1-40)"
    [ -f "$stamp" ] && return 0
    if clang-tidy --quiet -p build/lint-commands "$1" 2>/dev/null; then touch "$stamp"; else echo "lint: $1 failed" >&2; return 1; fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one "$1"' _ {}
