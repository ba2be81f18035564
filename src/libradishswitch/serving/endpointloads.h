#pragma once

#include "serving/endpointloadreport.h"
#include "serving/endpointloadsource.h"
#include "serving/endpointregistry.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace RadishSwitch
{

/// An endpoint has become slow compared with its pool, or is no longer slow.
struct SpeedChange {
    EndpointId endpoint;
    PoolId pool;
    /// Speed relative to the median of the pool; 1 if its speed is no longer known.
    double relativeSpeed = 1;
    bool isSlow = false;

    bool operator==(const SpeedChange &) const = default;
};

/// The last reported load and speed of each endpoint, and what they let one expect of it at present.
///
/// Load pattern: many gateways choose among the same endpoints, a third of which take 2.4 times as long as the others.
/// Each gateway sees only its own calls, so that slow and crowded endpoints get as many calls as the others.
///
/// Reports age. What changes quickly (pause, running streams) decays to the median of the pool with a half-life of a
/// second, and speed and memory with one of twenty seconds. Speeds are clamped, so that one wrong report cannot attract
/// the load of the whole fleet.
///
/// All gateways get the same reports at the same time. An endpoint that was idle a moment ago would look best to all of
/// them, and would get the calls of the whole fleet until its next report. The wait there therefore grows with the age
/// of the report towards the mean wait of the pool, with a half-life of 300 ms: within that time most gateways have
/// decided by the same report. A wait above the mean decays to it with the half-life of a second. The mean is used
/// instead of the median, which is zero whenever less than half of the pool has a queue.
///
/// Single-threaded, without I/O. `estimate` and `isUneven` allocate nothing.
class EndpointLoads : public EndpointLoadSource
{
public:
    /// The speeds that are believed, relative to the median of the pool.
    static constexpr double kMinimumRelativeSpeed = 0.125;
    static constexpr double kMaximumRelativeSpeed = 2;
    /// Relative speeds at which an endpoint counts as slow, and no longer does.
    static constexpr double kSlowBelow = 0.7;
    static constexpr double kNotSlowFrom = 0.8;
    /// Ratio of the 90th percentile of idle event intervals to the median, or of the median to the 10th percentile, at
    /// which a pool counts as uneven, and under which it no longer does.
    static constexpr double kUnevenFrom = 1.6;
    static constexpr double kEvenBelow = 1.4;
    /// Share of the endpoints of a pool whose speed must be known for the pool to become uneven and for its endpoints
    /// to become slow, and for both to stay so.
    static constexpr double kKnownToBeJudged = 0.5;
    static constexpr double kKnownToStayJudged = 0.25;
    /// Reports are discarded at this age, at which an eighth of a speed is left.
    static constexpr Duration kReportTtl = std::chrono::minutes(1);

    /// Called when a report shows that another process serves at the address of an endpoint than the one that is known.
    using StartCallback =
        std::function<void(EndpointSlot slot, std::int64_t startedAtMilliseconds, Instant measuredAt)>;

    explicit EndpointLoads(const EndpointRegistry &registry);

    void setStartCallback(StartCallback callback);

    /// Takes in a report. One that is not newer than the known report is ignored. Failures, which change nothing:
    /// MalformedMessage for values that are impossible, NoEndpoint for an endpoint or incarnation that is not listed.
    ///
    /// The medians of the pools remain as they are until `update`, so that a message with many reports costs only one
    /// pass over the endpoints.
    absl::Status takeIn(const EndpointLoadReport &report, Instant now);

    /// Discards old reports and computes the medians and the evenness of the pools. To be called after each message,
    /// and also at times while there are none. Returns the endpoints that have become slow, or are no longer slow.
    std::vector<SpeedChange> update(Instant now);

    /// The slot was freed and may get another endpoint.
    void forget(EndpointSlot slot);

    std::optional<LoadEstimate> estimate(EndpointSlot slot, Instant now) const override;
    bool isUneven(const PoolId &pool) const override;

    /// Number of endpoints with a known report.
    std::size_t knownCount() const;

    /// Age of the oldest known report; zero if there is none.
    Duration oldestAge(Instant now) const;

    /// Pools of which any report was ever known.
    std::vector<PoolId> pools() const;

private:
    using PoolIndex = std::uint32_t;
    static constexpr PoolIndex kNoPool = UINT32_MAX;

    struct EndpointNews {
        /// Set by `update` for all endpoints of a pool, also for those without a report.
        PoolIndex pool = kNoPool;
        bool isKnown = false;
        bool isSlow = false;
        std::int64_t startedAtMilliseconds = 0;
        Instant measuredAt{};
        /// When `idleEventSeconds` was measured. It is kept from an earlier report if a later one has none.
        Instant idleMeasuredAt{};
        /// Zero if unknown.
        double idleEventSeconds = 0;
        double waitSeconds = 0;
        double pauseSeconds = 0;
        double running = 0;
        double memoryShare = 0;
    };

    struct PoolNews {
        PoolId pool;
        /// When the newest of its reports was measured.
        Instant newestAt = Instant::min();
        /// The medians; the mean of the waits.
        LoadEstimate typical;
        bool isUneven = false;
    };

    static absl::Status check(const EndpointLoadReport &report);
    void noteStart(const EndpointLoadReport &report, Instant now) const;
    absl::StatusOr<EndpointSlot> slotOf(const EndpointLoadReport &report) const;
    PoolIndex poolIndex(const PoolId &pool);
    void updatePool(PoolIndex index, Instant now, std::vector<SpeedChange> &changes);
    void updateTypical(PoolNews &pool, Instant now);
    /// Returns the share of the pool's endpoints whose speed is known.
    double updateEvenness(PoolNews &pool, std::size_t endpoints);
    void updateSlow(EndpointSlot slot, const PoolNews &pool, double knownShare, std::vector<SpeedChange> &changes);
    double medianOf(const std::vector<EndpointSlot> &slots, double EndpointNews::*value, Instant notBefore);
    const PoolNews *poolOf(EndpointSlot slot) const;

    const EndpointRegistry &m_registry;
    StartCallback m_onStart;
    std::vector<EndpointNews> m_endpoints;
    std::vector<PoolNews> m_pools;
    absl::flat_hash_map<PoolId, PoolIndex> m_poolIndexes;
    /// Room for the values of which a median is computed.
    std::vector<double> m_values;
};

}
