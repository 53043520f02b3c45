#!/usr/bin/env bash
# Builds a preset (release unless named) into build/PRESET; the programs are in build/PRESET/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
./scripts/install_deps.sh
cmake --preset "$preset" >/dev/null
cmake --build "build/$preset"
