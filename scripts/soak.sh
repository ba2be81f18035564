#!/usr/bin/env bash
# Soaks real gateways before stand-ins: every seed that ever failed, then fresh ones.
# Usage: scripts/soak.sh [--seconds N] [--fresh N] [--at-once N] [--keep DIRECTORY]
# Ends with 0 if every promise held in every run; logs of a run that failed stay in DIRECTORY/SEED.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=6
fresh=3
at_once=3
keep=$(mktemp -d)
while [ $# -gt 0 ]; do
    case "$1" in
    --seconds) seconds="$2" ;;
    --fresh) fresh="$2" ;;
    --at-once) at_once="$2" ;;
    --keep) keep="$2" ;;
    *)
        echo "soak: no such option: $1" >&2
        exit 2
        ;;
    esac
    shift 2
done
mkdir -p "$keep"
programs="${RADISHSWITCH_BIN:-build/bin}"

mapfile -t seeds < <(grep -oE '^[0-9]+' scripts/soak-seeds.txt || true)
for ((n = 0; n < fresh; n++)); do
    seeds+=("$((RANDOM * 32768 + RANDOM))")
done

# Each run has a hundred ports of its own.
run() {
    local seed="$1" place="$2"
    "$programs/radishswitch-soak" --programs "$programs" --seed "$seed" --seconds "$seconds" \
        --folder "$keep/$seed" --first-port "$((21000 + place * 100))" >"$keep/$seed.out" 2>&1
}

failed=0
for ((first = 0; first < ${#seeds[@]}; first += at_once)); do
    pids=()
    batch=("${seeds[@]:first:at_once}")
    for place in "${!batch[@]}"; do
        run "${batch[place]}" "$place" &
        pids+=($!)
    done
    for place in "${!batch[@]}"; do
        seed="${batch[place]}"
        if wait "${pids[place]}"; then
            tail -n 1 "$keep/$seed.out"
            rm -rf "${keep:?}/$seed"
        else
            failed=$((failed + 1))
            grep -E 'BROKEN|seed|radishswitch-soak' "$keep/$seed.out" || true
            echo "soak: seed $seed failed, its logs are in $keep/$seed" >&2
        fi
    done
done
echo "soak: ${#seeds[@]} seeds, $failed failed"
[ "$failed" -eq 0 ]
