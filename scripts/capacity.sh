#!/usr/bin/env bash
# Works the table of docs/CAPACITY.md out from the given size and the measured slopes in docs/capacity/slopes.csv.
#
#   scripts/capacity.sh           prints the table
#   scripts/capacity.sh --write   puts it into the page, between its two markers
set -euo pipefail
cd "$(dirname "$0")/.."

page=docs/CAPACITY.md
slopes=docs/capacity/slopes.csv

table()
{
    awk -F, '
    function row(what, value, limit, how) {
        verdict = limit == "" ? "" : (value <= limit ? "within" : "over")
        printf "| %s | %.4g | %s | %s | %s |\n", what, value, limit == "" ? "-" : limit, verdict, how
    }
    /^#/ || NF < 2 { next }
    { v[$1] = $2 }
    END {
        entries = v["entries"]; agents = v["agents"]; pools = v["pools"]; regions = v["regions"]
        print "| what, at full size | worked out | allowed | | how |"
        print "|---|---|---|---|---|"

        # Links: each entry to a subset of the agents of each pool, and to every other entry.
        agentLinks = v["subset_at_size"] * pools
        peerLinks = entries - 1
        perLink = (v["entry_core_percent_128"] - v["entry_core_percent_32"]) / (v["links_128"] - v["links_32"])
        base = v["entry_core_percent_32"] - perLink * v["links_32"]
        row("entry: links to agents", agentLinks, "", "subset of " v["subset_at_size"] " in each of " pools " pools")
        row("entry: links to entries", peerLinks, "", "every other entry, as built today")
        row("entry: control, % of a core, as built", base + perLink * (agentLinks + peerLinks), 2.1, "line through 32 and 128 nodes over links")
        row("entry: the same with " v["peers_planned"] " peers", base + perLink * (agentLinks + v["peers_planned"]), 2.1, "peers as planned, see below")

        agentLinks1 = agentLinks * entries / agents
        perAgentLink = (v["agent_core_percent_128"] - v["agent_core_percent_32"]) / (v["agent_links_128"] - v["agent_links_32"])
        agentBase = v["agent_core_percent_32"] - perAgentLink * v["agent_links_32"]
        row("agent: links to entries", agentLinks1, "", "entry links x entries / agents")
        row("agent: control, % of a core", agentBase + perAgentLink * agentLinks1, 2.1, "line through 32 and 128 nodes over links")

        memoryPerLink = (v["entry_mb_128"] - v["entry_mb_32"]) / (v["links_128"] - v["links_32"])
        budgetsPerEntry = v["budgets"] * regions / entries
        idle = v["entry_mb_32"] + memoryPerLink * (agentLinks + peerLinks - v["links_32"])
        row("entry: memory for links, MB", idle, "", "line through 32 and 128 nodes")
        row("entry: budgets held, if all are in use in both regions", budgetsPerEntry, "", "budgets x regions / entries")
        row("entry: memory for budgets, MB", budgetsPerEntry * v["bytes_per_budget"] / 1e6, "", "bytes a budget held")
        keyed = v["requests_per_second"] * v["retention_seconds"] / entries
        row("entry: memory for remembered requests, MB", keyed * v["bytes_per_request"] / 1e6, "", "requests/s x retention / entries")
        row("entry: memory in all, MB", idle + (budgetsPerEntry * v["bytes_per_budget"] + keyed * v["bytes_per_request"]) / 1e6 + v["table_mb"], 256, "sum, with the table")
        row("agent: memory, MB", v["agent_mb_128"], 256, "largest at 128 nodes; kept answers up to 128 MB come on top")

        perLinkKb = (v["node_kb_per_second_128"] * 128 - v["node_kb_per_second_32"] * 32) / (v["all_links_128"] - v["all_links_32"])
        row("link: KB/s, both ways", perLinkKb, "", "loopback bytes at 32 and 128 nodes over links: an upper bound, stand-ins included")
        row("entry: KB/s, as built", perLinkKb * (agentLinks + peerLinks) / 2, 16, "half of each link is the other end'"'"'s")
        row("links that 16 KB/s allow", 32 / perLinkKb, "", "16 KB/s x 2 / KB/s of a link")

        row("store: ledger writes/s, calm", v["ledger_shards_at_size"] * regions / v["relaxed_write_seconds"], "", "each shard once in the calm interval from each region")
        row("store: writes for a budget that comes into use", v["writes_per_budget_per_second"] * v["writes_window_seconds"], "", "slope of ledger-rates over its first seconds")
        row("store: budgets/s that may come into use at 500 writes/s", 500 / (v["writes_per_budget_per_second"] * v["writes_window_seconds"]), "", "worst case: each in a shard of its own")
        row("store: watches/s", entries == 0 ? 0 : (v["watchers_per_zone"] * v["zones"] * 2 + entries) / v["watch_seconds"], "", "table and owners by watchers, list by every entry")
        row("home: share of a core for admissions, %", v["requests_per_second"] / entries * v["microseconds_per_admission"] / 1e4, "", "requests/s an entry x cost")
        row("entry: routing, share of a core, %", v["requests_per_second"] / entries * v["microseconds_per_route"] / 1e4, "", "requests/s an entry x one decision")
    }' "$slopes"
}

if [ "${1:-}" != --write ]; then
    table
    exit 0
fi
made=$(mktemp)
trap 'rm -f "$made"' EXIT
awk '/<!-- table begins -->/ { print; while ((getline line < "-") > 0) print line; skip = 1 }
     /<!-- table ends -->/ { skip = 0 }
     !skip { if ($0 !~ /<!-- table begins -->/) print }' "$page" < <(table) >"$made"
cp "$made" "$page"
