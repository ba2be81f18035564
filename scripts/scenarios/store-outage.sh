# shellcheck shell=bash disable=SC2154
# The platform's store loses answers, is away for a minute, and comes back slow, while load goes on.

seconds=${seconds:-80}
start_platform
standard_table magnolia tourbillon
standard_fleet 4 2
await_fleet 2 magnolia
targets_of entry-1 entry-2
callers_of magnolia tourbillon
begin_load outage "${targets[@]}" "${callers[@]}" --rate 30 --seconds "$seconds" --service shop \
    --service-share 0.1 --order-share 0.05 --tries 8 --seed 17

outage=$((seconds * 3 / 4))
sleep $((seconds / 8))
fault platform '{"lose_answer_share":0.5}'
event fault platform
sleep $((seconds / 16))
fault platform '{"away":"unavailable"}'
event fault platform
sleep "$outage"
fault platform '{"away":"no","lose_answer_share":0,"answer_latency_ms":300}'
end_load outage
fault platform '{"answer_latency_ms":0}'
sleep 2

stop_entries entry-1 entry-2
gather
judge outage
report --file "$work/outage.json" --figure "outage_seconds=$outage" \
    --figure false_refusal_share=false_refusals/requests \
    "${promises[@]}" --require 'false_refusal_share <= 0.01'
