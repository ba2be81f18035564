# shellcheck shell=bash disable=SC2154
# Chats that share long system prompts, over 8 engines with little cache and late, gapped events, by each policy.

seconds=${seconds:-15}
engine_flags=(--slots 16 --tokens-per-second 100 --prefill-tokens-per-second 2500 --cache-blocks 64
    --cache-event-delay-ms 300)
start_platform
standard_table magnolia
standard_fleet 8 2
for n in 1 2 3 4 5 6 7 8; do
    fault "engine-$n" '{"cache_event_gap":20}'
done
await_fleet 2 magnolia
targets_of entry-1 entry-2
callers_of magnolia

# 48 system prompts of 500 words, some 7 blocks each, so that an engine's cache holds a fifth of them.
for policy in round_robin least_outstanding default; do
    ctl pool set llm "policy=$policy"
    sleep 4
    begin_load "$policy" "${targets[@]}" "${callers[@]}" --rate 40 --seconds "$seconds" --prompt-words 20 \
        --max-tokens 16 --prefix-groups 48 --prefix-words 500 --seed 53
    end_load "$policy"
done

stop_entries entry-1 entry-2
gather
judge round_robin least_outstanding default
figures=()
for policy in round_robin least_outstanding default; do
    verdict=truth-$policy
    judge "$policy"
    figures+=(--numbers "$policy=$work/$policy.json" --numbers "$policy=$work/$verdict.json"
        --figure "${policy}_hit_ratio=${policy}_cached_tokens/${policy}_prompt_tokens"
        --pick "${policy}_hit_ratio" --pick "${policy}_ttft_p95_ms" --pick "${policy}_ttft_p50_ms")
done
for figure in scenario requests answered 'over*' 'false_*' 'double_*' lost_or_mixed_answers cut_off_by_stop; do
    figures+=(--pick "$figure")
done
report "${figures[@]}" --figure "ttft_p95_of_round_robin=default_ttft_p95_ms/round_robin_ttft_p95_ms" \
    --pick ttft_p95_of_round_robin "${promises[@]}" --require 'answered == requests' \
    --aim 'ttft_p95_of_round_robin <= 0.5'
