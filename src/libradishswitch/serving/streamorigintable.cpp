#include "serving/streamorigintable.h"

#include <algorithm>

namespace RadishSwitch
{

StreamOriginTable::StreamOriginTable(StreamOriginTableSettings settings)
    : m_settings(settings)
{
}

void StreamOriginTable::note(const StreamOriginRecord &record, Instant now)
{
    removeExpired(now);
    if (!m_origins.try_emplace(record.call, record.origin).second) {
        return;
    }
    m_entries.push_back({record.call, now});
    if (m_entries.size() > m_settings.maximumRecords) {
        m_origins.erase(m_entries.front().call);
        m_entries.pop_front();
    }
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
        m_origins.erase(m_entries.front().call);
        m_entries.pop_front();
    }
}

}
