# shellcheck shell=bash disable=SC2154
# A relay swallows the open connections of one kind after the other, while new ones work.

seconds=${seconds:-24}
for n in 1 2 3 4; do
    reserve "engine-$n"
    reserve "agent-$n"
done
start_platform
forwards=()
# through GROUP ADDRESS: sets `relayed` to the address at which a relay carries connections to this one.
through()
{
    take_port
    relayed=127.0.0.1:$port
    forwards+=("$relayed=$2,$1")
}
for n in 1 2 3 4; do
    through engines "${address_of[engine-$n]}"
    endpoint_for[engine-$n]=$relayed
    through agents "${address_of[agent-$n]}"
    listed_as[agent-$n]=$relayed
done
through platform "${address_of[platform]}"
platform_for[south]=$relayed
start_relay relay "${forwards[@]}"

standard_table magnolia tourbillon
standard_fleet 4 2
await_fleet 2 magnolia
targets_of entry-1 entry-2
callers_of magnolia tourbillon
begin_load silent "${targets[@]}" "${callers[@]}" --rate 30 --seconds "$seconds" --service shop \
    --service-share 0.1 --order-share 0.05 --seed 29

swallowed=0
for group in agents engines platform agents; do
    sleep $((seconds / 6))
    event fault "$group"
    strike relay "{\"group\":\"$group\",\"swallow\":\"both\"}"
    swallowed=$((swallowed + 1))
done
end_load silent

stop_entries entry-1 entry-2
gather
judge silent
report --file "$work/silent.json" --figure "swallowed=$swallowed" \
    "${promises[@]}" --require 'stall_at_faults_p95_ms <= 4000' --aim 'answered == requests'
