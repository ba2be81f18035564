# shellcheck shell=bash disable=SC2154
# A planned restart of every entry and every agent, one after the other, under load.

seconds=${seconds:-30}
start_platform --list-lag 1s
standard_table magnolia tourbillon
standard_fleet 4 3
await_fleet 3 magnolia
targets_of entry-1 entry-2 entry-3
callers_of magnolia tourbillon
begin_load drain "${targets[@]}" "${callers[@]}" --rate 40 --seconds "$seconds" --service shop \
    --service-share 0.1 --order-share 0.05 --seed 13
sleep 2

restarts=0
for n in 1 2 3; do
    event stop_begin "entry-$n"
    stop "entry-$n"
    event stop_end "entry-$n"
    [ "$exit_code" -eq 0 ] || fail "entry-$n ended with $exit_code after a planned stop"
    start_entry "entry-$n" south hall-a
    restarts=$((restarts + 1))
    sleep 1
done
for n in 1 2 3 4; do
    event stop_begin "agent-$n"
    event endpoint_leaving "engine-$n"
    stop "agent-$n"
    event stop_end "agent-$n"
    [ "$exit_code" -eq 0 ] || fail "agent-$n ended with $exit_code after a planned stop"
    event endpoint_back "engine-$n"
    start_agent "agent-$n" engine "${address_of[engine-$n]}" llm south hall-a
    restarts=$((restarts + 1))
    sleep 1
done
end_load drain

stop_entries entry-1 entry-2 entry-3
gather
judge drain
report --file "$work/drain.json" --figure "restarts=$restarts" \
    "${promises[@]}" --require 'withheld_tokens == 0' --aim 'answered == requests' --aim 'false_refusals == 0'
