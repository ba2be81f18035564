#include "serving/streamorigintable.h"

#include <algorithm>

namespace RadishSwitch
{

StreamOriginTable::StreamOriginTable(Instant createdAt, StreamOriginTableSettings settings)
    : m_settings(settings)
    , m_completeSince(createdAt)
{
}

void StreamOriginTable::note(const StreamOriginRecord &record, Instant now)
{
    removeExpired(now);
    const auto [it, isNew] = m_origins.try_emplace(record.call, record.origin);
    if (!isNew) {
        return correct(record, it->second);
    }
    m_entries.push_back({record.call, now});
    if (m_entries.size() > m_settings.maximumRecords) {
        erase(m_entries.front().call);
        m_entries.pop_front();
        m_completeSince = now;
    }
}

void StreamOriginTable::correct(const StreamOriginRecord &record, StreamOrigin &known)
{
    if (known.version.isEmpty() == record.origin.version.isEmpty() || m_withdrawn.contains(record.call)) {
        return;
    }
    if (record.origin.version.isEmpty()) {
        m_withdrawn.insert(record.call);
    }
    known = record.origin;
}

void StreamOriginTable::erase(const RequestId &call)
{
    m_origins.erase(call);
    m_withdrawn.erase(call);
}

StreamOriginAnswer StreamOriginTable::answer(const StreamOriginQuery &query, Instant now) const
{
    StreamOriginAnswer answer;
    if (const std::optional<StreamOrigin> origin = find(query.call)) {
        const bool isTold = origin->organisation == query.organisation && !origin->version.isEmpty();
        answer.origin = isTold ? origin : std::nullopt;
        answer.hasUnnamedRecord = !isTold;
    }
    answer.hasSeveralVersions = std::ranges::any_of(query.pools, [&](const PoolId &pool) {
        return hasPool(pool, now);
    });
    answer.keptFor = completeFor(now);
    return answer;
}

std::optional<StreamOrigin> StreamOriginTable::find(const RequestId &call) const
{
    const auto it = m_origins.find(call);
    return it == m_origins.end() ? std::nullopt : std::optional(it->second);
}

std::vector<StreamOriginRecord> StreamOriginTable::ofPool(const PoolId &pool, Instant now) const
{
    std::vector<StreamOriginRecord> records;
    for (const Entry &entry : m_entries) {
        const StreamOrigin &origin = m_origins.at(entry.call);
        if (origin.pool == pool && isRetained(entry, now)) {
            records.push_back({entry.call, origin});
        }
    }
    return records;
}

bool StreamOriginTable::hasPool(const PoolId &pool, Instant now) const
{
    return std::ranges::any_of(m_entries, [&](const Entry &entry) {
        return m_origins.at(entry.call).pool == pool && isRetained(entry, now);
    });
}

bool StreamOriginTable::isRetained(const Entry &entry, Instant now) const
{
    return now - entry.notedAt < m_settings.retention;
}

void StreamOriginTable::removeExpired(Instant now)
{
    while (!m_entries.empty() && !isRetained(m_entries.front(), now)) {
        erase(m_entries.front().call);
        m_entries.pop_front();
    }
}

}
