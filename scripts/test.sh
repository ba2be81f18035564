#!/usr/bin/env bash
# Installs what is needed, builds, and runs all tests. Usage: scripts/test.sh [--sanitize address|thread]
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install.sh
scripts/build.sh "$@"
folder=build
[ "${1:-}" = --sanitize ] && folder="build-$2"

# Tests that fail for a known fault are listed in KNOWN-RED.txt, one line each: test, cause, issue. They are run apart,
# printed, and do not decide.
red=""
if [ -s KNOWN-RED.txt ]; then
    red=$(cut -d, -f1 KNOWN-RED.txt | paste -sd'|')
    echo "known red, not deciding:"
    cat KNOWN-RED.txt
    ctest --test-dir "$folder" -R "^($red)$" || true
fi
# The output of a run is kept with its time, so that what fails seldom still has its name when the next run has passed.
kept="$folder/test-output-$(date +%Y%m%d-%H%M%S).log"
ctest --test-dir "$folder" --output-on-failure --no-tests=error -j "$(nproc)" --output-log "$(pwd)/$kept" \
    ${red:+-E "^($red)$"}
