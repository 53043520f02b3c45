#!/usr/bin/env bash
# Runs clang-tidy over the sources: all, or those named. A source that passed is not read again until it, a header it includes or .clang-tidy changes;
# the stamps of those that passed are under build/lint (or $REEDTRAIL_LINT_CACHE).
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/release/compile_commands.json ] || cmake --preset release >/dev/null
stamps="${REEDTRAIL_LINT_CACHE:-build/lint}"
mkdir -p "$stamps" build/lint-commands
export stamps
# clang-tidy cannot read the precompiled headers of g++, so the compile commands are given to it without them.
sed -E 's/-Winvalid-pch//g; s/-include [^ "]*cmake_pch\.hxx//g' build/release/compile_commands.json > build/lint-commands/compile_commands.json
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp'); fi
lint_one() {
    [ -f "$stamps/$1" ] && return 0
    if clang-tidy --quiet -p build/lint-commands "$2" 2>/dev/null; then touch "$stamps/$1"; else echo "lint: $2 failed" >&2; return 1; fi
}
export -f lint_one
python3 scripts/lint_stamps.py "${files[@]}" | xargs -P "$(nproc)" -L 1 bash -c 'lint_one "$1" "$2"' _
