#!/usr/bin/env bash
# The table of docs/CAPACITY.md is what scripts/capacity.sh works out from the slopes file today.
set -euo pipefail
cd "$(dirname "$0")/../.."

if ! diff <(sed -n '/<!-- table begins -->/,/<!-- table ends -->/p' docs/CAPACITY.md | sed '1d;$d') \
        <(scripts/capacity.sh); then
    echo "capacity: the page's table differs from its slopes; scripts/capacity.sh --write" >&2
    exit 1
fi
echo "capacity: the page's table follows from its slopes"
