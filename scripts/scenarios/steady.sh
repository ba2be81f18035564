# shellcheck shell=bash disable=SC2154
# Load without faults over two entries and four engines, and the same load straight at the engines.

seconds=${seconds:-10}
start_platform
standard_table magnolia tourbillon
standard_fleet 4 2
await_fleet 2 magnolia
targets_of entry-1 entry-2
callers_of magnolia tourbillon
begin_load steady "${targets[@]}" "${callers[@]}" --rate 40 --seconds "$seconds" --service shop \
    --service-share 0.1 --order-share 0.05 --seed 7
end_load steady

direct=()
for n in 1 2 3 4; do
    direct+=(--target "${address_of[engine-$n]}")
done
"$measure" direct --name direct "${direct[@]}" --rate 34 --seconds "$seconds" --seed 7 >"$work/direct.json"

stop_entries entry-1 entry-2
gather
judge steady
report --file "$work/direct.json" --file "$work/steady.json" \
    --figure added_ttft_p50_ms=ttft_p50_ms-direct_ttft_p50_ms \
    "${promises[@]}" --require 'answered == requests' --require 'false_refusals == 0' \
    --require 'withheld_tokens == 0' --require 'requests >= 200' --aim 'requests >= 300' \
    --aim 'added_ttft_p50_ms <= 1'
