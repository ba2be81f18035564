#!/usr/bin/env bash
# Builds everything or the given targets, release by default.
# Usage: scripts/build.sh [--sanitize address|thread] [TARGET...]
set -euo pipefail
cd "$(dirname "$0")/.."

folder=build
sanitize=""
if [ "${1:-}" = --sanitize ]; then
    sanitize="${2:?--sanitize takes address or thread}"
    folder="build-$sanitize"
    shift 2
fi
cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=Release -DRADISHSWITCH_SANITIZE="$sanitize" >/dev/null
cmake --build "$folder" -- --quiet "$@"
