#pragma once

#include "base/timerservice.h"
#include "serving/homedirectory.h"
#include "serving/poolversions.h"
#include "serving/streamoriginport.h"
#include "serving/streamorigintable.h"

#include <functional>
#include <memory>

namespace RadishSwitch
{

struct StreamOriginsSettings {
    /// Streams are divided into this many shards by the ids of their calls; each shard has its own processes that keep
    /// its records. Bounds the number of processes to which a gateway has connections.
    std::uint32_t shards = 16;
    /// Number of other processes that keep each record.
    std::size_t copies = 3;
    /// Time for the answers of other processes.
    Duration askTimeout = std::chrono::milliseconds(150);
    /// While what the fleet announces was confirmed within this time, the gateway relies on it without asking others.
    /// Shorter than PoolVersionsSettings::settling.
    Duration maximumAge = std::chrono::milliseconds(1500);
    /// Retry-after for a stream whose origin may be known a little later, or at another gateway.
    std::chrono::milliseconds retryAfter{300};
};

/// Knows at which software version each stream of the fleet began, for callers that continue streams at any gateway.
///
/// While a pool has one version, nothing is sent: any endpoint may continue any stream. Once it has several, each
/// gateway sends the origins of its streams to a few processes that rendezvous hashing selects: homes first, since
/// gateways are killed in groups, and a gateway as well, since homes are replaced together with their endpoints. Who
/// continues a stream asks the same processes. If nobody knows, the stream is refused: any guess could join what two
/// versions wrote.
class StreamOrigins
{
public:
    /// The origin at which a stream must continue, or why it can't be continued here: StreamOriginUnknown.
    using Callback = std::function<void(const absl::StatusOr<StreamOrigin> &)>;

    /// `announcementAge` returns how long ago it was confirmed that this process knows what the fleet announces about
    /// versions.
    StreamOrigins(HomeDirectory &holders, StreamOriginPort &peers, const PoolVersions &versions, TimerService &timers,
                  std::function<Duration()> announcementAge, StreamOriginsSettings settings = {});

    /// The call has brought the first event of a stream to its caller, or has continued that stream.
    void note(const StreamOriginRecord &record);

    /// A pool has several versions now. Sends the origins of its streams, which no process needed before.
    void publish(const PoolId &pool);

    /// Finds the origin of a stream that a caller continues. `pools` are those in which it may have begun; the first is
    /// the one chosen for this call.
    void find(const StreamOriginQuery &query, Callback callback);

    /// What this process answers to others.
    StreamOriginAnswer answer(const StreamOriginQuery &query) const;

    StreamOriginTable &table()
    {
        return m_table;
    }

private:
    struct Search {
        StreamOriginQuery query;
        Callback callback;
        std::size_t pending = 0;
        std::size_t asked = 0;
        std::size_t answered = 0;
        bool hasSeveralVersions = false;
    };

    using SearchPointer = std::shared_ptr<Search>;

    std::vector<std::string> holders(const RequestId &call) const;
    void handleAnswer(const SearchPointer &search, const std::string &peer,
                      const absl::StatusOr<StreamOriginAnswer> &answer);
    void finish(const SearchPointer &search, const absl::StatusOr<StreamOrigin> &origin);
    absl::StatusOr<StreamOrigin> originWithoutRecord(const Search &search) const;
    absl::StatusOr<StreamOrigin> onlyOrigin(const StreamOriginQuery &query) const;

    HomeDirectory &m_holders;
    StreamOriginPort &m_peers;
    const PoolVersions &m_versions;
    TimerService &m_timers;
    const std::function<Duration()> m_announcementAge;
    const StreamOriginsSettings m_settings;
    StreamOriginTable m_table;
};

}
