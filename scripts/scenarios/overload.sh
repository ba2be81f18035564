# shellcheck shell=bash disable=SC2154
# Load at 0.7, 1, 2 and 3 times the capacity: organisations with shares 3:2:1, a greedy one, and an urgent one.

seconds=${seconds:-10}
engine_flags=(--slots 8 --tokens-per-second 50)
start_platform
standard_table
ctl pool set llm maximum_queue=200 queue_deadline_ms=2000
for row in gold:300:5 silver:200:5 bronze:100:5 greedy:100:5 urgent:100:9; do
    IFS=: read -r name share priority <<<"$row"
    organisation "$name" "share=$share" "priority=$priority"
    budget "$name/main" 100000000
done
standard_fleet 2 2
await_fleet 2 gold
targets_of entry-1 entry-2

# Two engines with 8 slots at 50 tokens/s, slowed by 2% for each further run, make 702 tokens/s. Answers have 32
# tokens at most and 30 on average, so that is 23 requests/s; urgent ones take 2 of them, the others the rest.
load_flags=("${targets[@]}" --max-tokens 32 --prompt-words 10 --streamed-share 1 --deadline-ms 10000 --tries 1)
logs=()
# step NAME RATE GREEDY-RATE: gold, silver and bronze at RATE each, and the greedy one.
step()
{
    local name loads=(gold silver bronze greedy urgent)
    callers_of urgent
    begin_load "$1-urgent" "${load_flags[@]}" "${callers[@]}" --rate 2 --seconds "$seconds" --seed 41
    callers_of greedy
    begin_load "$1-greedy" "${load_flags[@]}" "${callers[@]}" --rate "$3" --seconds "$seconds" --seed 42
    for name in gold silver bronze; do
        callers_of "$name"
        begin_load "$1-$name" "${load_flags[@]}" "${callers[@]}" --rate "$2" --seconds "$seconds" --seed 43
    done
    for name in "${loads[@]}"; do
        end_load "$1-$name"
        logs+=("$1-$name")
    done
    sleep 2
}

step at07 2.8 5.7
step at10 4.2 8.4
step at20 8.8 17.6
step at30 13.4 26.8
# The baseline at three times the capacity: equal shares and priorities, endpoints in turn.
ctl pool set llm policy=round_robin
for name in gold silver bronze greedy urgent; do
    ctl org set "$name" share=100 priority=5
done
sleep 3
step base30 13.4 26.8

stop_entries entry-1 entry-2
gather
judge "${logs[@]}"
files=()
sums=()
for at in at07 at10 at20 at30 base30; do
    sum=
    for name in gold silver bronze greedy urgent; do
        files+=(--numbers "${at}_$name=$work/$at-$name.json")
        sum+=+${at}_${name}_tokens_per_second
    done
    sums+=(--figure "${at}_tokens_per_second=${sum:1}")
done
wanted=()
# Shares of what the four that saturate the pool got: 3:2:1:1.
for at in at30 base30; do
    all=${at}_gold_tokens_per_second+${at}_silver_tokens_per_second
    all+=+${at}_bronze_tokens_per_second+${at}_greedy_tokens_per_second
    wanted+=(--figure "${at}_all=$all")
    for name in gold silver bronze greedy; do
        wanted+=(--figure "${at}_${name}_share=${at}_${name}_tokens_per_second/${at}_all")
    done
done
picks=(--pick scenario)
for figure in requests answered 'over*' 'false_*' 'double_*' lost_or_mixed_answers cut_off_by_stop late_work \
    refusals at30_gold_refusal_p95_ms at30_greedy_refusal_p95_ms goodput_kept urgent_slowed; do
    picks+=(--pick "$figure")
done
for at in at07 at10 at20 at30 base30; do
    picks+=(--pick "${at}_tokens_per_second" --pick "${at}_urgent_ttft_p95_ms")
done
for name in gold silver bronze greedy; do
    picks+=(--pick "at30_${name}_share" --pick "base30_${name}_share")
done
report "${files[@]}" "${sums[@]}" "${wanted[@]}" \
    --figure goodput_kept=at30_tokens_per_second/at10_tokens_per_second \
    --figure urgent_slowed=at30_urgent_ttft_p95_ms/at07_urgent_ttft_p95_ms \
    "${picks[@]}" "${promises[@]}" --aim 'goodput_kept >= 0.9' --aim 'urgent_slowed <= 2' \
    --aim 'at30_gold_share >= 0.386' --aim 'at30_gold_share <= 0.471' \
    --aim 'at30_silver_share >= 0.257' --aim 'at30_silver_share <= 0.314' \
    --aim 'at30_bronze_share >= 0.129' --aim 'at30_bronze_share <= 0.157' \
    --aim 'at30_gold_missing_retry_after == 0' --aim 'at30_greedy_missing_retry_after == 0'
