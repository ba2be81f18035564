#!/usr/bin/env bash
# Every test and scenario that docs/PROMISES.md names is there, and every test that the page of others' words names. A test is named between backticks, as Fixture.name or
# by a name of its own that has an underscore and a capital; `scripts/measure.sh NAME` names a scenario.
set -euo pipefail
cd "$(dirname "$0")/../.."

page=docs/PROMISES.md
pages=("$page" docs/design/what-others-say.md)

# One line a test: Fixture.name
tests=$(git ls-files 'tests/*.cpp' | xargs perl -0777 -ne \
    'while (/\bTEST(?:_F|_P)?\(\s*(\w+)\s*,\s*(\w+)\s*\)/g) { print "$1.$2\n" }')
quoted=$(perl -ne 'while (/`([^`]+)`/g) { print "$1\n" }' "${pages[@]}")

missing=0
named=0
while read -r name; do
    named=$((named + 1))
    if ! grep -qE "(^|\.)${name//./\\.}\$" <<<"$tests"; then
        echo "promises: no test $name" >&2
        missing=1
    fi
done < <(grep -E '^([A-Z][A-Za-z0-9]*\.)?[a-z][A-Za-z0-9]*(_[A-Za-z0-9]+)+$' <<<"$quoted" | grep '[A-Z]' | sort -u)

while read -r name; do
    named=$((named + 1))
    if [ ! -f "scripts/scenarios/$name.sh" ]; then
        echo "promises: no scenario $name" >&2
        missing=1
    fi
done < <(grep -oE 'scripts/measure\.sh [a-z][a-z0-9-]*' "$page" | cut -d' ' -f2 | sort -u)

[ $missing -eq 0 ] || exit 1
echo "promises: all $named tests and scenarios that ${pages[*]} name are there"
