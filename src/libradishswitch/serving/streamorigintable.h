#pragma once

#include "base/timerservice.h"
#include "serving/streamoriginport.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace RadishSwitch
{

struct StreamOriginTableSettings {
    /// Longer than any caller continues a stream, over all of its tries.
    Duration retention = std::chrono::seconds(60);
    /// The oldest records are dropped beyond this number. Each takes about 300 bytes.
    std::size_t maximumRecords = 50'000;
};

/// The origins of streams that began recently, by the call that brought their first event.
class StreamOriginTable
{
public:
    explicit StreamOriginTable(Instant createdAt, StreamOriginTableSettings settings = {});

    /// A call has one origin: the first record that names a version counts. A later one that names none withdraws it
    /// for good: the version turned out not to be known.
    void note(const StreamOriginRecord &record, Instant now);

    /// A record stays valid beyond its retention until a later one removes it.
    std::optional<StreamOrigin> find(const RequestId &call) const;

    /// The records of a pool's streams, the oldest first.
    std::vector<StreamOriginRecord> ofPool(const PoolId &pool, Instant now) const;

    /// What this process tells another one that asks, without `soleVersionAge`.
    StreamOriginAnswer answer(const StreamOriginQuery &query, Instant now) const;

    /// How long the table has kept every record for its retention.
    Duration completeFor(Instant now) const
    {
        return now - m_completeSince;
    }

    Duration retention() const
    {
        return m_settings.retention;
    }

    std::size_t size() const
    {
        return m_origins.size();
    }

private:
    struct Entry {
        RequestId call;
        Instant notedAt{};
    };

    void correct(const StreamOriginRecord &record, StreamOrigin &known);
    void erase(const RequestId &call);
    bool hasPool(const PoolId &pool, Instant now) const;
    bool isRetained(const Entry &entry, Instant now) const;
    void removeExpired(Instant now);

    const StreamOriginTableSettings m_settings;
    Instant m_completeSince;
    absl::flat_hash_map<RequestId, StreamOrigin> m_origins;
    /// Calls whose origins were withdrawn.
    absl::flat_hash_set<RequestId> m_withdrawn;
    /// In the order in which they were noted.
    std::deque<Entry> m_entries;
};

}
