#!/usr/bin/env bash
# Runs one scenario against real programs on loopback and prints its figures as one JSON object on the last line.
#
#   scripts/measure.sh --list
#   scripts/measure.sh SCENARIO [--seconds N] [--keep DIRECTORY]
#
# Exits 0 when every promise held, 1 when one was broken, 2 when the run could not be made.
set -euo pipefail

scripts=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(dirname "$scripts")

usage()
{
    sed -n '2,7s/^# \{0,1\}//p' "${BASH_SOURCE[0]}"
}

list_scenarios()
{
    local file
    for file in "$scripts"/scenarios/*.sh; do
        printf '%-14s %s\n' "$(basename "$file" .sh)" "$(sed -n '2s/^# //p' "$file")"
    done
}

scenario=
seconds=
kept_folder=
while [ $# -gt 0 ]; do
    case $1 in
    --list)
        list_scenarios
        exit 0
        ;;
    --help)
        usage
        exit 0
        ;;
    --seconds)
        seconds=${2:?--seconds needs a number}
        shift 2
        ;;
    --keep)
        kept_folder=${2:?--keep needs a directory}
        shift 2
        ;;
    -*)
        echo "measure.sh: no such flag: $1" >&2
        exit 2
        ;;
    *)
        scenario=$1
        shift
        ;;
    esac
done
if [ -z "$scenario" ] || [ ! -f "$scripts/scenarios/$scenario.sh" ]; then
    usage >&2
    exit 2
fi
if ! [[ ${seconds:-1} =~ ^[1-9][0-9]*$ ]]; then
    echo "measure.sh: --seconds needs a whole number above 0" >&2
    exit 2
fi

# shellcheck source=lib.sh
. "$scripts/lib.sh"
prepare "$root" "$kept_folder"
# shellcheck source=/dev/null
. "$scripts/scenarios/$scenario.sh"
