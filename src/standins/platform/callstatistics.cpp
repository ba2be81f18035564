#include "callstatistics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

using nlohmann::json;

const char *nameOf(CallKind kind)
{
    switch (kind) {
    case CallKind::Get:
        return "get";
    case CallKind::Put:
        return "put";
    case CallKind::Delete:
        return "delete";
    case CallKind::List:
        return "list";
    case CallKind::Watch:
        return "watch";
    }
    return "";
}

json toObject(const std::map<CallKind, std::int64_t> &counts)
{
    json object = json::object();
    for (const CallKind kind : {CallKind::Get, CallKind::Put, CallKind::Delete, CallKind::List, CallKind::Watch}) {
        const auto it = counts.find(kind);
        object[nameOf(kind)] = it == counts.end() ? 0 : it->second;
    }
    return object;
}

}

bool isWrite(CallKind kind)
{
    return kind == CallKind::Put || kind == CallKind::Delete;
}

void CallStatistics::Peak::count(Instant now)
{
    const std::int64_t present = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    calls = present == second ? calls + 1 : 1;
    second = present;
    most = std::max(most, calls);
}

void CallStatistics::count(CallKind kind, const std::string &key, std::size_t bytes, Instant now)
{
    ++m_calls[kind];
    ++m_prefixes[key.substr(0, key.find('/'))][kind];
    m_bytesIn += static_cast<std::int64_t>(bytes);
    (isWrite(kind) ? m_writes : m_reads).count(now);
}

void CallStatistics::countAnswer(std::size_t bytes)
{
    m_bytesOut += static_cast<std::int64_t>(bytes);
}

void CallStatistics::countLimited()
{
    ++m_limited;
}

void CallStatistics::countAway()
{
    ++m_away;
}

void CallStatistics::countLostAnswer()
{
    ++m_lostAnswers;
}

std::string CallStatistics::toJson() const
{
    json prefixes = json::object();
    for (const auto &[prefix, counts] : m_prefixes) {
        prefixes[prefix] = toObject(counts);
    }
    return json{
        {"calls", toObject(m_calls)},    {"prefixes", prefixes},
        {"bytes_in", m_bytesIn},         {"bytes_out", m_bytesOut},
        {"limited", m_limited},          {"away", m_away},
        {"lost_answers", m_lostAnswers}, {"busiest_second", {{"reads", m_reads.most}, {"writes", m_writes.most}}}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

}
