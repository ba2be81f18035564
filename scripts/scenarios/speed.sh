# shellcheck shell=bash disable=SC2154
# What the data path costs: requests and tokens for each second of an entry's core, time added, memory of open streams.

seconds=${seconds:-8}
engine_flags=(--slots 4096 --tokens-per-second 20000 --batch-slowdown 0 --prefill-tokens-per-second 1000000 --threads 2)
budget_tokens=1000000000
start_platform
standard_table magnolia
standard_fleet 2 1
await_fleet 1 magnolia
targets_of entry-1
callers_of magnolia
direct=(--target "${address_of[engine-1]}" --target "${address_of[engine-2]}")

# spend NAME FLAGS...: a load, with the processor time that the entry and the agents spent on it.
figures=()
spend()
{
    local name=$1 entry agents
    shift
    entry=$(cpu_ms entry-1)
    agents=$(($(cpu_ms agent-1) + $(cpu_ms agent-2)))
    begin_load "$name" "${targets[@]}" "${callers[@]}" --seconds "$seconds" "$@"
    end_load "$name"
    figures+=(--numbers "$name=$work/$name.json"
        --figure "${name}_entry_cpu_seconds=$(($(cpu_ms entry-1) - entry))/1000"
        --figure "${name}_agent_cpu_seconds=$(($(cpu_ms agent-1) + $(cpu_ms agent-2) - agents))/1000")
}

# Small requests: one token, not streamed.
spend small --callers 32 --max-tokens 1 --prompt-words 8 --streamed-share 0 --threads 3
# Long streams of tokens.
spend streams --callers 32 --max-tokens 128 --prompt-words 8 --streamed-share 1 --threads 3
# Time added, at a load that leaves all parts idle most of the time.
spend calm --rate 50 --max-tokens 32 --prompt-words 8 --streamed-share 1
"$measure" direct --name direct "${direct[@]}" --rate 50 --seconds "$seconds" --max-tokens 32 --prompt-words 8 \
    --streamed-share 1 >"$work/direct.json"

# Streams that are open and carry a token now and then.
fault engine-1 '{"slow":20000}'
fault engine-2 '{"slow":20000}'
streams=${RADISHSWITCH_STREAMS:-1000}
before=$(rss_kb entry-1)
begin_load idle "${targets[@]}" "${callers[@]}" --callers "$streams" --requests "$streams" --seconds 30 \
    --max-tokens 16 --prompt-words 8 --streamed-share 1 --timeout-seconds 60
sleep 8
stream_kb=$(($(rss_kb entry-1) - before))
fault engine-1 '{"clear":true}'
fault engine-2 '{"clear":true}'
end_load idle

stop_entries entry-1
gather
judge small streams calm idle
picks=()
for figure in requests answered 'over*' 'false_*' 'double_*' lost_or_mixed_answers 'small_per_*' \
    'streams_tokens_per_*' 'small_requests_per_second' 'added_*' kb_per_open_stream open_streams \
    small_agent_cpu_seconds small_entry_cpu_seconds streams_entry_cpu_seconds streams_agent_cpu_seconds; do
    picks+=(--pick "$figure")
done
report "${figures[@]}" --numbers "direct=$work/direct.json" \
    --figure "small_per_entry_core=small_requests_per_second*small_seconds/small_entry_cpu_seconds" \
    --figure "small_per_agent_core=small_requests_per_second*small_seconds/small_agent_cpu_seconds" \
    --figure "streams_tokens_per_entry_core=streams_tokens_per_second*streams_seconds/streams_entry_cpu_seconds" \
    --figure "streams_tokens_per_agent_core=streams_tokens_per_second*streams_seconds/streams_agent_cpu_seconds" \
    --figure "added_ttft_p50_ms=calm_ttft_p50_ms-direct_direct_ttft_p50_ms" \
    --figure "added_ttft_p99_ms=calm_ttft_p99_ms-direct_direct_ttft_p99_ms" \
    --figure "added_gap_p95_ms=calm_gap_p95_ms-direct_direct_gap_p95_ms" \
    --figure "open_streams=$streams" --figure "kb_per_open_stream=$stream_kb/$streams" \
    "${picks[@]}" "${promises[@]}" \
    --aim 'small_per_entry_core >= 4000' --aim 'streams_tokens_per_entry_core >= 250000' \
    --aim 'added_ttft_p50_ms <= 0.5' --aim 'added_ttft_p99_ms <= 3' --aim 'kb_per_open_stream <= 60'
