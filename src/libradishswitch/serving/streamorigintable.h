#pragma once

#include "base/timerservice.h"
#include "serving/streamorigin.h"

#include <absl/container/flat_hash_map.h>

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
    explicit StreamOriginTable(StreamOriginTableSettings settings = {});

    /// A call has one origin: a second record for the same call is ignored.
    void note(const StreamOriginRecord &record, Instant now);

    /// A record stays valid beyond its retention until a later one removes it.
    std::optional<StreamOrigin> find(const RequestId &call) const;

    /// The records of a pool's streams, the oldest first.
    std::vector<StreamOriginRecord> ofPool(const PoolId &pool, Instant now) const;

    /// Whether there is any record of the pool's streams.
    bool hasPool(const PoolId &pool, Instant now) const;

    std::size_t size() const
    {
        return m_origins.size();
    }

private:
    struct Entry {
        RequestId call;
        Instant notedAt{};
    };

    bool isRetained(const Entry &entry, Instant now) const;
    void removeExpired(Instant now);

    const StreamOriginTableSettings m_settings;
    absl::flat_hash_map<RequestId, StreamOrigin> m_origins;
    /// In the order in which they were noted.
    std::deque<Entry> m_entries;
};

}
