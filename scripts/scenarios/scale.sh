# shellcheck shell=bash disable=SC2154
# What control costs each node, idle, with 8, 32 and 128 nodes, and what that makes of 1,710.

seconds=${seconds:-10}
start_platform
standard_table magnolia
# Few stand-in engines serve many agents: only the fleet's own processes are measured.
for n in 1 2 3 4; do
    start_engine "engine-$n" "${engine_flags[@]}"
done

nodes=0
entries=0
agents=0
# grow NODES: one entry to three agents, as 410 to 1,300.
grow()
{
    while [ $nodes -lt "$1" ]; do
        nodes=$((nodes + 1))
        if [ $((nodes % 4)) -eq 1 ]; then
            entries=$((entries + 1))
            start_entry "entry-$entries" south "hall-$((entries % 5))"
        else
            agents=$((agents + 1))
            start_agent "agent-$agents" engine "${address_of[engine-$((agents % 4 + 1))]}" llm south \
                "hall-$((agents % 5))"
        fi
    done
}

# cost ROLE COUNT: sets `cpu` to their processor time in ms and `rss` to the largest memory in kB.
cost()
{
    local n memory
    cpu=0
    rss=0
    for ((n = 1; n <= $2; ++n)); do
        cpu=$((cpu + $(cpu_ms "$1-$n")))
        memory=$(rss_kb "$1-$n")
        rss=$((memory > rss ? memory : rss))
    done
}

figures=()
for size in 8 32 128; do
    grow $size
    wait_for 30 entry_is_ready "entry-$entries"
    wait_for 30 chat_works "entry-$entries" magnolia
    sleep 5
    cost entry "$entries"
    entry_cpu=$cpu
    cost agent "$agents"
    agent_cpu=$cpu
    bytes=$(loopback_bytes)
    begin=${EPOCHREALTIME/[.,]/}
    sleep "$seconds"
    elapsed=$((${EPOCHREALTIME/[.,]/} - begin))
    bytes=$(($(loopback_bytes) - bytes))
    cost entry "$entries"
    entry_cpu=$((cpu - entry_cpu))
    entry_rss=$rss
    cost agent "$agents"
    agent_cpu=$((cpu - agent_cpu))
    figures+=(--figure "entries_$size=$entries" --figure "agents_$size=$agents"
        --figure "entry_core_percent_$size=$entry_cpu*100000/$elapsed/$entries"
        --figure "agent_core_percent_$size=$agent_cpu*100000/$elapsed/$agents"
        --figure "entry_mb_$size=$entry_rss/1024" --figure "agent_mb_$size=$rss/1024"
        # All that went over loopback, the stand-ins' share and other programs' with it: an upper bound.
        --figure "node_kb_per_second_$size=$bytes*1000000/$elapsed/1024/$nodes")
done

for ((n = 1; n <= entries; ++n)); do
    stop "entry-$n"
done
gather
judge
for figure in entry_core_percent agent_core_percent entry_mb agent_mb node_kb_per_second; do
    # A straight line through the costs at 32 and 128 nodes.
    figures+=(--figure "${figure}_per_node=${figure}_128-${figure}_32/96"
        --figure "${figure}_at_1710=${figure}_per_node*1582+${figure}_128")
done
report "${figures[@]}" "${promises[@]}" \
    --aim 'entry_core_percent_at_1710 <= 2.1' --aim 'agent_core_percent_at_1710 <= 2.1' \
    --aim 'entry_mb_at_1710 <= 256' --aim 'agent_mb_at_1710 <= 256' --aim 'node_kb_per_second_at_1710 <= 16'
