#!/usr/bin/env bash
# Soaks real gateways before stand-ins: every seed that ever failed, then fresh ones.
# Usage: scripts/soak.sh [--seconds N] [--fresh N] [--at-once N] [--keep DIRECTORY]
# A line of scripts/soak-seeds.txt is a seed, options of radishswitch-soak that it needs, and behind a # its cause.
# Ends with 0 if every promise held in every run; logs of a run that failed stay in DIRECTORY/SEED. A seed that an
# entry of KNOWN-RED.txt names with its options (`radishswitch-soak --seed 7 --direct, ...`) is played and printed, and
# does not decide.
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

mapfile -t seeds < <(sed -E 's/[[:space:]]*#.*//' scripts/soak-seeds.txt | grep -E '^[0-9]+' || true)
for ((n = 0; n < fresh; n++)); do
    # Every other one lists endpoints at their own addresses, where their crashes show.
    direct=""
    if ((n % 2 == 0)); then
        direct=" --direct"
    fi
    seeds+=("$((RANDOM * 32768 + RANDOM))$direct")
done

mapfile -t known_red < <(sed -nE 's/^radishswitch-soak --seed ([^,]*),.*/\1/p' KNOWN-RED.txt)

is_known_red() {
    local seed
    for seed in "${known_red[@]}"; do
        if [ "$seed" = "$1" ]; then
            return 0
        fi
    done
    return 1
}

# Each run has a hundred ports of its own.
run() {
    local place="$1" name="$2" seed="$3"
    shift 3
    "$programs/radishswitch-soak" --programs "$programs" --seed "$seed" --seconds "$seconds" "$@" \
        --folder "$keep/$name" --first-port "$((21000 + place * 100))" >"$keep/$name.out" 2>&1
}

# Of a seed and its options, the name of its folder.
name_of() {
    echo "${1//[^0-9a-z]/-}"
}

failed=0
known=0
for ((first = 0; first < ${#seeds[@]}; first += at_once)); do
    pids=()
    batch=("${seeds[@]:first:at_once}")
    for place in "${!batch[@]}"; do
        read -ra words <<<"${batch[place]}"
        run "$place" "$(name_of "${batch[place]}")" "${words[@]}" &
        pids+=($!)
    done
    for place in "${!batch[@]}"; do
        seed="${batch[place]}"
        name=$(name_of "$seed")
        if wait "${pids[place]}"; then
            tail -n 1 "$keep/$name.out"
            rm -rf "${keep:?}/$name"
        else
            if is_known_red "$seed"; then
                echo "soak: seed $seed is known red and does not decide" >&2
                known=$((known + 1))
            else
                failed=$((failed + 1))
            fi
            grep -E 'BROKEN|seed|radishswitch-soak' "$keep/$name.out" || true
            echo "soak: seed $seed failed, its logs are in $keep/$name" >&2
        fi
    done
done
echo "soak: ${#seeds[@]} seeds, $failed failed, $known known red failed"
[ "$failed" -eq 0 ]
