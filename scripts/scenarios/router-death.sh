# shellcheck shell=bash disable=SC2154
# Entries are killed with streams open, and replaced; callers ask again with the same keys.

seconds=${seconds:-20}
start_platform
standard_table magnolia tourbillon
standard_fleet 4 3
await_fleet 3 magnolia
targets_of entry-1 entry-2 entry-3
callers_of magnolia tourbillon
begin_load death "${targets[@]}" "${callers[@]}" --rate 40 --seconds "$seconds" --service shop \
    --service-share 0.1 --order-share 0.1 --tries 12 --retry-delay-ms 250 --seed 11

deaths=0
for name in entry-1 entry-2; do
    sleep $((seconds / 4))
    kill_hard "$name"
    event fault "$name"
    deaths=$((deaths + 1))
    unregister "$name"
    sleep 2
    start_entry "$name" south hall-a
done
end_load death
sleep 10

stop_entries entry-1 entry-2 entry-3
gather
judge death
report --file "$work/death.json" --figure "deaths=$deaths" \
    --figure withheld_share=withheld_tokens/paid_tokens \
    "${promises[@]}" --require 'withheld_share <= 0.01' --aim 'answered == requests'
