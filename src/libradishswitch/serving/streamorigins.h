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
    /// Number of homes and of gateways that rank first for a stream. A majority of these holders must know of a stream
    /// before it begins at another version than the established one.
    std::size_t holderHomes = 3;
    std::size_t holderGateways = 2;
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
/// continues a stream asks the same processes.
///
/// The gateway that began a stream may be frozen, cut off or dead when a second version appears, so that nobody else
/// has a record. Such a stream began at the established version, since streams begin at any other one only after a
/// majority of the holders has been told. A stream without a record is therefore continued at the established version
/// if enough holders answer that have kept their records since before a stream could begin elsewhere. Otherwise it is
/// refused: any guess could join what two versions wrote.
class StreamOrigins
{
public:
    /// The origin at which a stream must continue, or why it can't be continued here: StreamOriginUnknown.
    using Callback = std::function<void(const absl::StatusOr<FoundStreamOrigin> &)>;
    using RegisteredCallback = std::function<void(const absl::Status &)>;

    /// `announcementAge` returns how long ago it was confirmed that this process knows what the fleet announces about
    /// versions.
    StreamOrigins(HomeDirectory &holders, StreamOriginPort &peers, const PoolVersions &versions, TimerService &timers,
                  std::function<Duration()> announcementAge, StreamOriginsSettings settings = {});

    /// Whether a stream must be registered before it may begin at this version.
    bool mustRegister(const PoolId &pool, const SoftwareVersion &version) const;

    /// Tells the holders that the call's stream may begin at another version than the established one. Fails with
    /// StreamOriginUnknown if no majority of them confirms it in time.
    void registerStream(const RequestId &call, const OrganisationId &organisation, const PoolId &pool,
                        RegisteredCallback callback);

    /// The call has brought the first event of a stream to its caller, or has continued that stream. A record without a
    /// version withdraws an earlier one of the call.
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
        Instant startedAt{};
        /// Processes that must have kept their records, of those that rank first for the stream.
        std::vector<std::string> holders;
        /// Since when the holders that answered have kept their records.
        std::vector<Instant> keptSince;
        std::size_t pending = 0;
        std::size_t asked = 0;
        std::size_t answered = 0;
        bool hasSeveralVersions = false;
        bool hasUnnamedRecord = false;
        /// The latest time, of those that processes know, until which all streams began at the established version.
        std::optional<Instant> soleVersionUntil;
    };

    struct Registration {
        RegisteredCallback callback;
        /// Confirmations that are still needed, and answers that may still come.
        std::size_t needed = 0;
        std::size_t pending = 0;
    };

    using SearchPointer = std::shared_ptr<Search>;
    using RegistrationPointer = std::shared_ptr<Registration>;

    std::string shardOf(const RequestId &call) const;
    std::vector<std::string> reachableHolders(const RequestId &call) const;
    std::vector<std::string> firstHolders(const RequestId &call) const;
    std::vector<std::string> processesToAsk(const Search &search) const;
    void handleKept(const RegistrationPointer &registration, const std::string &peer, const absl::Status &status);
    void finishRegistration(Registration &registration) const;
    void handleAnswer(const SearchPointer &search, const std::string &peer,
                      const absl::StatusOr<StreamOriginAnswer> &answer);
    void noteAnswer(Search &search, const std::string &peer, const StreamOriginAnswer &answer) const;
    void finish(const SearchPointer &search, const absl::StatusOr<FoundStreamOrigin> &origin);
    std::optional<Duration> soleVersionAge(const std::vector<PoolId> &pools) const;
    std::size_t countKept(const Search &search) const;
    bool isWithoutRecord(const Search &search) const;
    bool canTellWithoutRecord(const Search &search) const;
    absl::StatusOr<FoundStreamOrigin> originWithoutRecord(const Search &search) const;
    absl::Status whyUnknown(const Search &search) const;

    HomeDirectory &m_holders;
    StreamOriginPort &m_peers;
    const PoolVersions &m_versions;
    TimerService &m_timers;
    const std::function<Duration()> m_announcementAge;
    const StreamOriginsSettings m_settings;
    StreamOriginTable m_table;
};

}
