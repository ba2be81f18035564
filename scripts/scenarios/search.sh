# shellcheck shell=bash disable=SC2154
# The exhaustive searches over the real decisions, deeper than in the tests: ledger, homes with their agents.

seconds=${seconds:-60}
tests=$(dirname "$bin")/tests/core-tests
[ -x "$tests" ] || fail "no $tests; build it first: scripts/build.sh"
depth=4
[ "$seconds" -lt 60 ] || depth=5
export RADISHSWITCH_SEARCH_DEPTH=$depth RADISHSWITCH_SEARCH_STATES=30000
status=0
"$tests" --gtest_filter='*Search*' >"$work/search.out" 2>&1 || status=$?
grep -aE 'states|ways|walks|paths' "$work/search.out" >&2 || true
states=$(grep -aoE '[0-9]+ states' "$work/search.out" | awk '{ n += $1 } END { print n + 0 }')
printf '{"states":%s,"depth":%s,"broken_promises":%s}\n' "$states" "$depth" "$((status != 0))" >"$work/search.json"
report --file "$work/search.json" --require 'broken_promises == 0' --require 'states > 1000'
