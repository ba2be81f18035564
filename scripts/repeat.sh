#!/usr/bin/env bash
# Runs a test program many times, and keeps the output of each run that fails, so that what fails seldom has a name.
# Usage: scripts/repeat.sh PROGRAM RUNS [--at-once N] [--beside N] [--keep DIRECTORY] [GTEST-FLAGS]
# --beside starts so many busy processes, and ends them. Ends with 0 if no run failed.
set -euo pipefail

program="${1:?PROGRAM RUNS}"
runs="${2:?PROGRAM RUNS}"
shift 2
at_once=4
beside=0
keep=$(mktemp -d)
flags=()
while [ $# -gt 0 ]; do
    case "$1" in
    --at-once) at_once="$2" ;;
    --beside) beside="$2" ;;
    --keep) keep="$2" ;;
    *)
        flags+=("$1")
        shift
        continue
        ;;
    esac
    shift 2
done
mkdir -p "$keep"

busy=()
trap '[ ${#busy[@]} -eq 0 ] || kill "${busy[@]}" 2>/dev/null || true' EXIT
for ((n = 0; n < beside; n++)); do
    (while :; do :; done) &
    busy+=($!)
done

run() {
    if "$program" ${flags[@]+"${flags[@]}"} >"$keep/$1.out" 2>&1; then
        rm "$keep/$1.out"
    fi
}

for ((first = 0; first < runs; first += at_once)); do
    pids=()
    for ((n = first; n < runs && n < first + at_once; n++)); do
        run "$n" &
        pids+=($!)
    done
    wait "${pids[@]}"
done

failed=$(find "$keep" -name '*.out' | wc -l)
if [ "$failed" -gt 0 ]; then
    grep -h '^\[  FAILED  \] .*(' "$keep"/*.out | sort | uniq -c || true
    echo "repeat: $failed of $runs runs failed, their output is in $keep" >&2
    exit 1
fi
echo "repeat: $runs runs, none failed"
